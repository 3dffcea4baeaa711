"""Command line that runs one stand-in as a process."""

import asyncio
import signal
from collections.abc import Callable

import defopt
from tornado.httpclient import AsyncHTTPClient

from persimmonferry_standins.engine import EngineSettings, EngineStandIn
from persimmonferry_standins.plain import PlainSettings, PlainStandIn
from persimmonferry_standins.platform import PlatformSettings, PlatformStandIn
from persimmonferry_standins.server import LOOPBACK, StandIn
from persimmonferry_standins.store import StoreSettings, StoreStandIn
from persimmonferry_standins.vms import VMListStandIn
from persimmonferry_standins.weights import WeightsSettings, WeightsStandIn

__all__ = ["main"]

STOP_GRACE_S = 5.0
MAX_CLIENTS = 64


async def _serve(make: Callable[[], StandIn]) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    standin = make()
    await standin.start()
    print(f"listening {standin.host}:{standin.port}", flush=True)
    await stopped.wait()
    await standin.stop(STOP_GRACE_S)


def _run(make: Callable[[], StandIn]) -> None:
    AsyncHTTPClient.configure(
        "tornado.curl_httpclient.CurlAsyncHTTPClient", max_clients=MAX_CLIENTS
    )
    asyncio.run(_serve(make))


def engine(
    *,
    port: int = 0,
    host: str = LOOPBACK,
    model: str = "model",
    version: str = "v1",
    adapters: list[str] | None = None,
    slots: int = 8,
    prefill_tokens_per_s: float = 20_000.0,
    decode_tokens_per_s: float = 100.0,
    cache_blocks: int = 64,
    block_tokens: int = 1000,
    bytes_per_token: int = 64,
    event_lag_s: float = 0.0,
    load_lag_s: float = 0.0,
    weights_s: float = 0.0,
    weights_url: str = "",
    fenced: bool = True,
    tick_s: float = 0.02,
) -> None:
    """
    Run a model engine.

    :param port: port to listen on, 0 for a free port.
    :param host: address to listen on.
    :param model: model that it serves.
    :param version: weight version that is loaded at the start.
    :param adapters: adapters that are loaded at the start.
    :param slots: largest number of batched runs.
    :param prefill_tokens_per_s: prefill rate, which the batched runs share.
    :param decode_tokens_per_s: decode rate of each batched run.
    :param cache_blocks: capacity of its prefix cache, in blocks.
    :param block_tokens: tokens in one block.
    :param bytes_per_token: size of exported blocks, per token.
    :param event_lag_s: time from a cache event to its publication.
    :param load_lag_s: minimum age of the load that is reported.
    :param weights_s: time to load weights or an adapter without a weight store.
    :param weights_url: base URL of the weight store, empty for none.
    :param fenced: whether it refuses an order whose fencing token is lower than one
        that it received before.
    :param tick_s: interval at which runs advance and emit tokens.
    """
    settings = EngineSettings(
        model=model,
        version=version,
        adapters=tuple(adapters or ()),
        slots=slots,
        prefill_tokens_per_s=prefill_tokens_per_s,
        decode_tokens_per_s=decode_tokens_per_s,
        cache_blocks=cache_blocks,
        block_tokens=block_tokens,
        bytes_per_token=bytes_per_token,
        event_lag_s=event_lag_s,
        load_lag_s=load_lag_s,
        weights_s=weights_s,
        weights_url=weights_url,
        fenced=fenced,
        tick_s=tick_s,
    )
    _run(lambda: EngineStandIn(settings, port, host))


def plain(
    *, port: int = 0, host: str = LOOPBACK, slots: int = 16, delay_s: float = 0.0
) -> None:
    """
    Run a plain service.

    :param port: port to listen on, 0 for a free port.
    :param host: address to listen on.
    :param slots: largest number of concurrent calls; others wait.
    :param delay_s: duration of a call.
    """
    settings = PlainSettings(slots, delay_s)
    _run(lambda: PlainStandIn(settings, port, host))


def platform(*, port: int = 0, host: str = LOOPBACK, latency_s: float = 0.0) -> None:
    """
    Run the platform's key-value service.

    :param port: port to listen on, 0 for a free port.
    :param host: address to listen on.
    :param latency_s: time before each call takes effect.
    """
    settings = PlatformSettings(latency_s)
    _run(lambda: PlatformStandIn(settings, port, host))


def store(
    *,
    port: int = 0,
    host: str = LOOPBACK,
    capacity_bytes: int = 64 * 1024 * 1024,
    bytes_per_s: float = 0.0,
    latency_s: float = 0.0,
) -> None:
    """
    Run a store VM.

    :param port: port to listen on, 0 for a free port.
    :param host: address to listen on.
    :param capacity_bytes: space for blocks.
    :param bytes_per_s: rate of its link, 0 for no limit.
    :param latency_s: added to each transfer.
    """
    settings = StoreSettings(capacity_bytes, bytes_per_s, latency_s)
    _run(lambda: StoreStandIn(settings, port, host))


def weights(
    *, port: int = 0, host: str = LOOPBACK, load_s: float = 2.0, parallel: int = 2
) -> None:
    """
    Run the weight store.

    :param port: port to listen on, 0 for a free port.
    :param host: address to listen on.
    :param load_s: duration of a weight load at full rate.
    :param parallel: concurrent loads that run at full rate; more share that bandwidth.
    """
    settings = WeightsSettings(load_s, parallel)
    _run(lambda: WeightsStandIn(settings, port, host))


def vms(*, port: int = 0, host: str = LOOPBACK, lag_s: float = 0.0) -> None:
    """
    Run the platform's list of VMs, empty at the start.

    :param port: port to listen on, 0 for a free port.
    :param host: address to listen on.
    :param lag_s: time from a change of the list to its publication.
    """
    _run(lambda: VMListStandIn(lag_s, port, host))


def main() -> None:
    """Run the stand-in that the command line names."""
    defopt.run([engine, plain, platform, store, weights, vms])
