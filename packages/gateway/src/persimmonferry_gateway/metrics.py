"""Counters and latency histograms of a gateway, served as text."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from persimmonferry_core.held_bytes import HeldBytes, Place
from persimmonferry_core.returns import ReturnPromises
from persimmonferry_core.room import Resource
from persimmonferry_core.topology import Address
from persimmonferry_daemon.histograms import Histograms, Measure
from tornado.web import RequestHandler

from persimmonferry_gateway.page_server import PageServer

__all__ = ["CallMetrics", "GatewayFigures", "MetricsServer"]


@dataclass(frozen=True)
class GatewayFigures:
    """
    What a gateway's components know at one moment.

    :param registry_calls: calls to the registry, by kind.
    :param limits: calls per second that upstreams with a limit take.
    :param limit_shares: part of these limits that this gateway may use.
    :param quarantined: number of crashes, by quarantined parts.
    :param retries: retries allowed and refused so far, by service.
    :param closures: number of upstreams that get no run of this gateway, by reason.
    :param ceilings: calls in a second that all gateways may send, by upstream.
    :param cold: upstreams known to be cold, and for how many seconds yet.
    :param evacuated: failure domains to which nothing more may be sent.
    :param slowness: how long work takes at each upstream, 1.0 as usual.
    :param paces: runs that new and readmitted upstreams may have.
    :param room: free share of each resource, by model service.
    :param promises: made to refused callers.
    :param held_bytes: that are held, by place.
    :param callers: counters of the server for callers, by name.
    """

    registry_calls: Mapping[str, int]
    limits: Mapping[str, float]
    limit_shares: Mapping[str, float]
    quarantined: Mapping[str, int]
    retries: Mapping[str, tuple[int, int]]
    closures: Mapping[str, int]
    ceilings: Mapping[str, int]
    cold: Mapping[str, float]
    evacuated: frozenset[str]
    slowness: Mapping[str, float]
    paces: Mapping[str, int]
    room: Mapping[str, Mapping[Resource, float]]
    promises: ReturnPromises
    held_bytes: HeldBytes
    callers: Mapping[str, int]


class CallMetrics:
    """
    Counts calls by route and outcome, and records how long they took.

    :param read_figures: returns what the gateway's components know now.
    """

    def __init__(self, read_figures: Callable[[], GatewayFigures]) -> None:
        self._read_figures = read_figures
        self.histograms = Histograms()
        self._outcomes: Counter[tuple[str, str]] = Counter()
        self._attempts = 0
        self._limited_attempts = 0
        self._losses: Counter[str] = Counter()

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
        figures = self._read_figures()
        lines = [
            f'calls{{route="{route}",outcome="{outcome}"}} {count}'
            for (route, outcome), count in sorted(self._outcomes.items())
        ]
        lines.append(f"attempts {self._attempts}")
        lines.append(f"limited_attempts {self._limited_attempts}")
        lines += _render("lost_attempts", "progress", self._losses)
        lines += _render("quarantined_parts", "parts", figures.quarantined)
        for service, (granted, refused) in sorted(figures.retries.items()):
            lines.append(f'retries{{service="{service}"}} {granted}')
            lines.append(f'retries_refused{{service="{service}"}} {refused}')
        lines += _render_upstreams(figures)
        lines += _render_room(figures)
        lines += _render_held(figures.held_bytes)
        lines += [f"{name} {value}" for name, value in figures.callers.items()]
        lines += _render("registry_calls", "kind", figures.registry_calls)
        for row in self.histograms.list_rows():
            labels = f'account="{row.account}",route="{row.tier}"'
            name = f"{row.measure}_ms"
            lines.append(f"{name}_count{{{labels}}} {row.count}")
            for quantile in ("p50", "p95", "p99", "max"):
                value = getattr(row, f"{quantile}_ms")
                lines.append(f'{name}{{{labels},quantile="{quantile}"}} {value}')
        return "\n".join(lines) + "\n"


def _render(
    name: str, label: str, values: Mapping[str, float], form: str = ""
) -> list[str]:
    return [
        f'{name}{{{label}="{key}"}} {value:{form}}'
        for key, value in sorted(values.items())
    ]


def _render_upstreams(figures: GatewayFigures) -> list[str]:
    """Return the lines on how much upstreams take, and why not more."""
    own_limit = "upstream_limit_own_calls_per_s"
    return [
        *_render("upstream_limit_calls_per_s", "upstream", figures.limits, "g"),
        *_render(own_limit, "upstream", figures.limit_shares, "g"),
        *_render("upstreams_closed", "reason", figures.closures),
        *_render("upstream_ceiling_calls", "upstream", figures.ceilings),
        *_render("upstream_cold_s", "upstream", figures.cold, ".1f"),
        *_render("evacuated", "failure_domain", dict.fromkeys(figures.evacuated, 1)),
        *_render("upstream_slowness", "upstream", figures.slowness, ".3g"),
        *_render("upstream_pace", "upstream", figures.paces),
    ]


def _render_room(figures: GatewayFigures) -> list[str]:
    lines = []
    for service, room in sorted(figures.room.items()):
        binding = min(room, key=room.get)
        for resource, share in room.items():
            labels = f'service="{service}",resource="{resource.value}"'
            lines.append(f"room_free_share{{{labels}}} {share:.3f}")
            lines.append(f"room_binds{{{labels}}} {int(resource is binding)}")
    lines.append(f"returns_promised {figures.promises.added}")
    lines.append(f"returns_kept {figures.promises.taken}")
    return lines


def _render_held(held_bytes: HeldBytes) -> list[str]:
    lines, most = [], held_bytes.most
    for place, size in held_bytes.present.items():
        kind, label = "answer_bytes", f'{{place="{place.value}"}}'
        if place is Place.REQUEST:
            kind, label = "request_bytes", ""
        lines.append(f"{kind}{label} {size}")
        lines.append(f"{kind}_most{label} {most[place]}")
    return lines


class MetricsServer(PageServer):
    """Serves ``/metrics`` at an address."""

    def __init__(self, address: Address, metrics: CallMetrics) -> None:
        rules = [("/metrics", _MetricsHandler, {"metrics": metrics})]
        super().__init__(address, rules)


class _MetricsHandler(RequestHandler):
    def initialize(self, metrics: CallMetrics) -> None:
        self._metrics = metrics

    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; charset=utf-8")
        self.finish(self._metrics.render_text())
