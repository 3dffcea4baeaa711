"""Counters and latency histograms of a gateway, served as text."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from persimmonferry_core.returns import ReturnPromises
from persimmonferry_core.room import Resource
from persimmonferry_core.topology import Address
from persimmonferry_daemon.histograms import Histograms, Measure
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from persimmonferry_gateway.held_bytes import HeldBytes, Place

__all__ = ["AvailabilityFigures", "CallMetrics", "MetricsServer"]


@dataclass(frozen=True)
class AvailabilityFigures:
    """
    How many calls upstreams take now, and why not more.

    :param closures: number of upstreams that get no run of this gateway, by reason.
    :param ceilings: calls in a second that all gateways may send, by upstream.
    :param cold: upstreams known to be cold, and for how many seconds yet.
    :param evacuated: failure domains to which nothing more may be sent.
    """

    closures: Mapping[str, int]
    ceilings: Mapping[str, int]
    cold: Mapping[str, float]
    evacuated: frozenset[str]


class CallMetrics:
    """
    Counts calls by route and outcome, and records how long they took.

    :param read_registry_calls: returns the calls to the registry, by kind.
    :param read_limits: returns the calls per second that upstreams with a limit take.
    :param read_shares: returns the part of these limits that this gateway may use.
    :param read_quarantine: returns the number of crashes, by quarantined parts.
    :param read_retries: returns the retries allowed and refused so far, by service.
    :param read_availability: returns what is known of the upstreams' availability.
    :param read_slowness: returns how long work takes at each upstream, 1.0 as usual.
    :param read_paces: returns the runs that new and readmitted upstreams may have.
    :param read_room: returns the free share of each resource, by model service.
    :param promises: made to refused callers.
    :param held_bytes: counts the bytes that are held.
    :param count_callers: returns the counters of the server for callers, by name.
    """

    def __init__(
        self,
        read_registry_calls: Callable[[], Mapping[str, int]],
        read_limits: Callable[[], Mapping[str, float]],
        read_shares: Callable[[], Mapping[str, float]],
        read_quarantine: Callable[[], Mapping[str, int]],
        read_retries: Callable[[], Mapping[str, tuple[int, int]]],
        read_availability: Callable[[], AvailabilityFigures],
        read_slowness: Callable[[], Mapping[str, float]],
        read_paces: Callable[[], Mapping[str, int]],
        read_room: Callable[[], Mapping[str, Mapping[Resource, float]]],
        promises: ReturnPromises,
        held_bytes: HeldBytes,
        count_callers: Callable[[], Mapping[str, int]],
    ) -> None:
        self._read_room = read_room
        self._promises = promises
        self.histograms = Histograms()
        self._outcomes: Counter[tuple[str, str]] = Counter()
        self._attempts = 0
        self._limited_attempts = 0
        self._losses: Counter[str] = Counter()
        self._read_registry_calls = read_registry_calls
        self._read_limits = read_limits
        self._read_shares = read_shares
        self._read_quarantine = read_quarantine
        self._read_retries = read_retries
        self._read_availability = read_availability
        self._read_slowness = read_slowness
        self._read_paces = read_paces
        self._held_bytes = held_bytes
        self._count_callers = count_callers

    def record(
        self,
        account: str,
        route: str,
        outcome: str,
        attempts: int,
        limited_attempts: int,
        losses: Iterable[str],
        first_s: float | None,
        total_s: float,
    ) -> None:
        """
        Count a call that has ended.

        :param limited_attempts: its attempts at upstreams with a known limit.
        :param losses: how far each of its attempts got that has no whole answer.
        :param first_s: time to its first event or complete answer, None without one.
        """
        self._outcomes[route, outcome] += 1
        self._attempts += attempts
        self._limited_attempts += limited_attempts
        self._losses.update(losses)
        if first_s is not None:
            self.histograms.record(account, route, Measure.FIRST_TOKEN, first_s)
        self.histograms.record(account, route, Measure.WHOLE_ANSWER, total_s)

    def render_text(self) -> str:
        """Return one line for each counter and each value of a histogram."""
        lines = [
            f'calls{{route="{route}",outcome="{outcome}"}} {count}'
            for (route, outcome), count in sorted(self._outcomes.items())
        ]
        lines.append(f"attempts {self._attempts}")
        lines.append(f"limited_attempts {self._limited_attempts}")
        lines += [
            f'lost_attempts{{progress="{progress}"}} {count}'
            for progress, count in sorted(self._losses.items())
        ]
        lines += [
            f'upstream_limit_calls_per_s{{upstream="{name}"}} {calls_per_s:g}'
            for name, calls_per_s in sorted(self._read_limits().items())
        ]
        lines += [
            f'upstream_limit_own_calls_per_s{{upstream="{name}"}} {calls_per_s:g}'
            for name, calls_per_s in sorted(self._read_shares().items())
        ]
        lines += [
            f'quarantined_parts{{parts="{parts}"}} {crashes}'
            for parts, crashes in sorted(self._read_quarantine().items())
        ]
        for service, (granted, refused) in sorted(self._read_retries().items()):
            lines.append(f'retries{{service="{service}"}} {granted}')
            lines.append(f'retries_refused{{service="{service}"}} {refused}')
        lines += self._list_availability()
        lines += self._render_room()
        lines += [
            f'upstream_slowness{{upstream="{name}"}} {slowness:.3g}'
            for name, slowness in sorted(self._read_slowness().items())
        ]
        lines += [
            f'upstream_pace{{upstream="{name}"}} {runs}'
            for name, runs in sorted(self._read_paces().items())
        ]
        most = self._held_bytes.most
        for place, size in self._held_bytes.present.items():
            kind, label = "answer_bytes", f'{{place="{place.value}"}}'
            if place is Place.REQUEST:
                kind, label = "request_bytes", ""
            lines.append(f"{kind}{label} {size}")
            lines.append(f"{kind}_most{label} {most[place]}")
        lines += [f"{name} {value}" for name, value in self._count_callers().items()]
        lines += [
            f'registry_calls{{kind="{kind}"}} {count}'
            for kind, count in sorted(self._read_registry_calls().items())
        ]
        for row in self.histograms.list_rows():
            labels = f'account="{row.account}",route="{row.tier}"'
            name = f"{row.measure}_ms"
            lines.append(f"{name}_count{{{labels}}} {row.count}")
            for quantile in ("p50", "p95", "p99", "max"):
                value = getattr(row, f"{quantile}_ms")
                lines.append(f'{name}{{{labels},quantile="{quantile}"}} {value}')
        return "\n".join(lines) + "\n"

    def _list_availability(self) -> list[str]:
        """Return the lines on closed, cold and evacuated upstreams."""
        figures = self._read_availability()
        return [
            *(
                f'upstreams_closed{{reason="{reason}"}} {count}'
                for reason, count in sorted(figures.closures.items())
            ),
            *(
                f'upstream_ceiling_calls{{upstream="{name}"}} {calls}'
                for name, calls in sorted(figures.ceilings.items())
            ),
            *(
                f'upstream_cold_s{{upstream="{name}"}} {left_s:.1f}'
                for name, left_s in sorted(figures.cold.items())
            ),
            *(
                f'evacuated{{failure_domain="{domain}"}} 1'
                for domain in sorted(figures.evacuated)
            ),
        ]

    def _render_room(self) -> list[str]:
        lines = []
        for service, room in sorted(self._read_room().items()):
            binding = min(room, key=room.get)
            for resource, share in room.items():
                labels = f'service="{service}",resource="{resource.value}"'
                lines.append(f"room_free_share{{{labels}}} {share:.3f}")
                lines.append(f"room_binds{{{labels}}} {int(resource is binding)}")
        lines.append(f"returns_promised {self._promises.added}")
        lines.append(f"returns_kept {self._promises.taken}")
        return lines


class MetricsServer:
    """Serves ``/metrics`` at an address."""

    def __init__(self, address: Address, metrics: CallMetrics) -> None:
        rules = [("/metrics", _MetricsHandler, {"metrics": metrics})]
        self._server = HTTPServer(Application(rules))
        self._address = address

    def start(self) -> None:
        """Bind the address and start serving."""
        sockets = bind_sockets(self._address.port, self._address.host)
        self._server.add_sockets(sockets)

    async def stop(self) -> None:
        """Close the server and its connections."""
        self._server.stop()
        await self._server.close_all_connections()


class _MetricsHandler(RequestHandler):
    def initialize(self, metrics: CallMetrics) -> None:
        self._metrics = metrics

    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; charset=utf-8")
        self.finish(self._metrics.render_text())
