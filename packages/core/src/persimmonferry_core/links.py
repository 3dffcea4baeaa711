"""Links between failure domains: transfer times, prices and measured rates."""

import math

from persimmonferry_core.topology import Link

__all__ = ["LinkTable"]

LINK_EWMA_ALPHA = 0.2
DELAY_WINDOW_S = 10.0
LOCAL_LATENCY_S = 0.0005
LOCAL_BYTES_PER_S = 1.25e9


class _LinkState:
    """A link with its measured rate and the expected end of planned transfers."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.bytes_per_s = max(1.0, link.bytes_per_s * (1.0 - link.loss))
        self.busy_until_s = 0.0
        self.last_end_s = 0.0
        self._delay_s = 0.0

    def estimate_delay(self, now: float) -> float:
        """Return the recent average wait for transfers of other entries."""
        elapsed = max(0.0, now - self.last_end_s)
        return self._delay_s * math.exp(-elapsed / DELAY_WINDOW_S)

    def record_delay(self, delay_s: float, now: float) -> None:
        """Update the average by the wait of a completed transfer."""
        known = self.estimate_delay(now)
        self._delay_s = known + LINK_EWMA_ALPHA * (delay_s - known)


class LinkTable:
    """The links between failure domains, with the rates measured by imports."""

    def __init__(self, links: tuple[Link, ...] = ()) -> None:
        self._states: dict[tuple[str, str], _LinkState] = {}
        self.configure(links)

    def configure(self, links: tuple[Link, ...]) -> None:
        """Apply the links of a new document; unchanged ones keep their state."""
        for link in links:
            state = self._states.get((link.source, link.target))
            if state is None or state.link != link:
                self._states[link.source, link.target] = _LinkState(link)

    def estimate_transfer(
        self, source: str, target: str, total_bytes: int, now: float
    ) -> float:
        """Return the seconds for a transfer that follows those planned before."""
        state = self._find(source, target)
        waiting = max(state.busy_until_s - now, state.estimate_delay(now))
        duration = total_bytes / state.bytes_per_s
        return waiting + 2 * state.link.latency_s + duration

    def price(self, source: str, target: str, total_bytes: int) -> float:
        """Return the price of a transfer, in the team's currency."""
        return self._find(source, target).link.price_per_gb * total_bytes / 1e9

    def reserve(self, source: str, target: str, total_bytes: int, now: float) -> None:
        """Add a planned transfer."""
        state = self._find(source, target)
        duration = total_bytes / state.bytes_per_s
        state.busy_until_s = max(now, state.busy_until_s) + duration

    def record(
        self, source: str, target: str, total_bytes: int, seconds: float, now: float
    ) -> None:
        """Update the rate of the link by a completed transfer."""
        state = self._find(source, target)
        # Transfers share the link; only the time since the last one ended counts.
        start = max(now - seconds, state.last_end_s)
        alone = 2 * state.link.latency_s + total_bytes / state.bytes_per_s
        state.record_delay(max(0.0, seconds - alone), now)
        state.last_end_s = max(now, state.last_end_s)
        duration = now - start - 2 * state.link.latency_s
        capacity = max(1.0, state.link.bytes_per_s)
        rate = total_bytes / duration if duration > 0 else capacity
        rate = min(rate, capacity)
        state.bytes_per_s += LINK_EWMA_ALPHA * (rate - state.bytes_per_s)
        state.bytes_per_s = max(1.0, state.bytes_per_s)

    def _find(self, source: str, target: str) -> _LinkState:
        state = self._states.get((source, target))
        if state is None:
            link = Link(source, target, LOCAL_LATENCY_S, LOCAL_BYTES_PER_S, 0.0)
            state = self._states[source, target] = _LinkState(link)
        return state
