"""Fair shares among client accounts of one tier (start-time fair queueing)."""

from bisect import insort
from collections.abc import Iterator
from dataclasses import dataclass
from heapq import heapify, heappop, heapreplace
from typing import Generic, TypeVar

from persimmonferry_core.demand import DecayingRate

__all__ = ["ArrivalHorizon", "FairQueue", "QueueEntry"]

DEMAND_WINDOW_S = 10.0
NEGLIGIBLE_COST_PER_S = 1e-4

Item = TypeVar("Item")


@dataclass(frozen=True, eq=False)
class QueueEntry(Generic[Item]):
    """
    An item that waits.

    :param cost: what it takes from its account's share, in any one unit.
    """

    entry_id: str
    account: str
    cost: float
    deadline_s: float
    item: Item


@dataclass(frozen=True)
class ArrivalHorizon:
    """A time from now on in which recent demand is expected to go on."""

    horizon_s: float
    now: float


class _Flow(Generic[Item]):
    """The waiting entries of one account, by latest start, and its virtual start."""

    def __init__(self, weight: float, start: float) -> None:
        self.weight = weight
        self.virtual_start = start
        self.cost = 0.0
        self.entries: list[QueueEntry[Item]] = []

    def add(self, entry: QueueEntry[Item]) -> None:
        insort(self.entries, entry, key=_entry_order)
        self.cost += entry.cost

    def discard(self, entry: QueueEntry[Item]) -> None:
        self.entries.remove(entry)
        self.cost = self.cost - entry.cost if self.entries else 0.0


class _Demand:
    """What an account asked for recently."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.rate = DecayingRate(DEMAND_WINDOW_S)


class FairQueue(Generic[Item]):
    """
    Serves accounts in proportion to their weights, and each one by latest start.

    The account with the lowest virtual start is next; serving it moves its virtual
    start on by cost / weight. An account that was idle begins at the present virtual
    time, so that it gets its share at once but no credit for its idle time.
    """

    def __init__(self) -> None:
        self._flows: dict[str, _Flow[Item]] = {}
        self._idle_starts: dict[str, float] = {}
        self._entries: dict[str, QueueEntry[Item]] = {}
        self._demands: dict[str, _Demand] = {}
        self._virtual_time = 0.0
        self.total_cost = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, entry_id: str) -> bool:
        return entry_id in self._entries

    def push(self, entry: QueueEntry[Item], weight: float) -> None:
        """Add an entry; the weight is its account's from now on."""
        flow = self._flows.get(entry.account)
        if flow is None:
            start = max(self._virtual_time, self._idle_starts.pop(entry.account, 0.0))
            flow = self._flows[entry.account] = _Flow(weight, start)
        flow.weight = weight
        flow.add(entry)
        self._entries[entry.entry_id] = entry
        self.total_cost += entry.cost

    def iterate(self) -> Iterator[QueueEntry[Item]]:
        """Return the entries in the order of service, without removing them."""
        order = [(flow.virtual_start, name, 0) for name, flow in self._flows.items()]
        heapify(order)
        while order:
            start, name, index = order[0]
            flow = self._flows[name]
            entry = flow.entries[index]
            if index + 1 < len(flow.entries):
                heapreplace(order, (start + entry.cost / flow.weight, name, index + 1))
            else:
                heappop(order)
            yield entry

    def dequeue(self, entry_id: str) -> None:
        """Remove an entry that is served and charge its account."""
        entry = self._entries[entry_id]
        flow = self._flows[entry.account]
        self._virtual_time = max(self._virtual_time, flow.virtual_start)
        flow.virtual_start += entry.cost / flow.weight
        self.remove(entry_id)

    def remove(self, entry_id: str) -> None:
        """Remove an entry without charging its account."""
        entry = self._entries.pop(entry_id)
        flow = self._flows[entry.account]
        flow.discard(entry)
        self.total_cost = self.total_cost - entry.cost if self._entries else 0.0
        if not flow.entries:
            del self._flows[entry.account]
            self._save_idle_start(entry.account, flow.virtual_start)

    def find_overdue(self, now: float) -> tuple[QueueEntry[Item], ...]:
        """Return the entries whose latest start is before now."""
        late: list[QueueEntry[Item]] = []
        for flow in self._flows.values():
            for entry in flow.entries:
                if entry.deadline_s >= now:
                    break
                late.append(entry)
        return tuple(late)

    def pop_excess(
        self, ahead: float, rate: float, now: float
    ) -> tuple[QueueEntry[Item], ...]:
        """
        Remove and return the newest entries that can't be served in time.

        :param ahead: work that is served before all entries of this queue.
        :param pace: work that is served each second.
        """
        excess = []
        for name, flow in list(self._flows.items()):
            while flow.entries:
                entry = flow.entries[-1]
                work = ahead + self.estimate_work_ahead(name, flow.weight, 0.0)
                if now + (work - entry.cost) / rate <= entry.deadline_s:
                    break
                self.remove(entry.entry_id)
                excess.append(entry)
        return tuple(excess)

    def record_demand(
        self, account: str, cost: float, weight: float, now: float
    ) -> None:
        """Count what an account asks for, admitted or not."""
        demand = self._demands.get(account)
        if demand is None:
            self._drop_idle_demands(now)
            demand = self._demands[account] = _Demand(weight)
        demand.weight = weight
        demand.rate.add(cost, now)

    def estimate_work_ahead(
        self,
        account: str,
        weight: float,
        cost: float,
        arrivals: ArrivalHorizon | None = None,
    ) -> float:
        """
        Return the work served before the last entry of an account would start.

        Each other account is served at most in proportion to its weight until then,
        so one account's backlog does not count against another's short queue.

        :param cost: of an entry of the account that is about to join.
        :param arrivals: the time in which work of other accounts will still arrive;
            None counts only what waits now.
        """
        flow = self._flows.get(account)
        own = flow.cost if flow else 0.0
        rounds = (own + cost) / weight
        ahead = own
        for name, other in self._flows.items():
            if name != account:
                expected = other.cost + self._estimate_arrivals(name, arrivals)
                ahead += min(expected, rounds * other.weight)
        if arrivals is not None:
            for name, demand in self._demands.items():
                if name != account and name not in self._flows:
                    expected = self._estimate_arrivals(name, arrivals)
                    ahead += min(expected, rounds * demand.weight)
        return ahead

    def _estimate_arrivals(
        self, account: str, arrivals: ArrivalHorizon | None
    ) -> float:
        demand = self._demands.get(account)
        if arrivals is None or demand is None:
            return 0.0
        return demand.rate.estimate(arrivals.now) * arrivals.horizon_s

    def _drop_idle_demands(self, now: float) -> None:
        idle = [
            name
            for name, demand in self._demands.items()
            if demand.rate.estimate(now) < NEGLIGIBLE_COST_PER_S
        ]
        for name in idle:
            del self._demands[name]

    def _save_idle_start(self, account: str, start: float) -> None:
        """Remember what an idle account was served ahead of the others."""
        passed = [
            name
            for name, idle_start in self._idle_starts.items()
            if idle_start <= self._virtual_time
        ]
        for name in passed:
            del self._idle_starts[name]
        if start > self._virtual_time:
            self._idle_starts[account] = start


def _entry_order(entry: QueueEntry[Item]) -> float:
    return entry.deadline_s
