"""Runs a gateway process until a stop signal."""

import asyncio
import gc
import logging
import signal
import sys
from collections.abc import Callable

from persimmonferry_daemon.allocation import return_freed_blocks
from persimmonferry_daemon.logs import set_up_logs

from persimmonferry_gateway.gateway import Gateway
from persimmonferry_gateway.open_connections import limit_connections
from persimmonferry_gateway.reload import SettingsWatch
from persimmonferry_gateway.settings import GatewaySettings
from persimmonferry_gateway.upstream_client import CancellableClient

__all__ = ["run_gateway"]

GC_THRESHOLD_OBJECTS = 20_000

_log = logging.getLogger(__name__)


def run_gateway(
    settings: GatewaySettings,
    build: Callable[[CancellableClient], Gateway],
    read: Callable[[], str],
    parse: Callable[[str], GatewaySettings],
) -> None:
    """
    Run one gateway process until SIGTERM or SIGINT.

    :param build: returns the gateway that uses an HTTP client.
    :param read: returns the current text of the settings.
    :param parse: returns the settings in a text.
    """
    set_up_logs(settings.name, "INFO", sys.stdout)
    return_freed_blocks()
    asyncio.run(_serve(settings, build, read, parse))


async def _serve(
    settings: GatewaySettings,
    build: Callable[[CancellableClient], Gateway],
    read: Callable[[], str],
    parse: Callable[[str], GatewaySettings],
) -> None:
    stop_asked = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        # A second signal changes nothing: it must not abort requests while draining.
        loop.add_signal_handler(number, stop_asked.set)
    # SIGHUP is ignored until the gateway runs; the settings are checked then.
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    _, connections = limit_connections(settings.memory_bytes, settings.descriptors)
    client = CancellableClient(force_instance=True, max_clients=connections)
    gateway = build(client)
    await gateway.start()
    watch = SettingsWatch(settings, read, parse, gateway.apply_settings)
    watch.start()
    loop.add_signal_handler(signal.SIGHUP, watch.check)
    # Objects that live as long as the process are excluded from garbage collection.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS)
    _log.info("started", extra={"callers": str(settings.callers)})
    await stop_asked.wait()
    _log.info("stopping")
    watch.stop()
    await gateway.stop()
    _log.info("stopped")
