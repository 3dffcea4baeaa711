"""Start-time fair queueing among the client accounts of one tier."""

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
    A queued item.

    :param cost: charged to its account's share; any unit, the same for all entries.
    :param is_first: whether it precedes other entries of its account.
    """

    entry_id: str
    account: str
    cost: float
    deadline_s: float
    item: Item
    is_first: bool = False


@dataclass(frozen=True)
class ArrivalHorizon:
    """The period from now on for which recent demand is assumed to continue."""

    horizon_s: float
    now: float


class _Flow(Generic[Item]):
    """The queued entries of one account by deadline, and its virtual start."""

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
    """The recent demand of one account."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.rate = DecayingRate(DEMAND_WINDOW_S)


class FairQueue(Generic[Item]):
    """
    Serves accounts in proportion to their weights, and each account by deadline.

    The account with the lowest virtual start is served next, which advances its virtual
    start by cost / weight. An account that was idle starts at the current virtual time:
    it gets its share at once, but no credit for the idle time.
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
        """Add an entry; ``weight`` becomes the current weight of its account."""
        flow = self._flows.get(entry.account)
        if flow is None:
            start = max(self._virtual_time, self._idle_starts.pop(entry.account, 0.0))
            flow = self._flows[entry.account] = _Flow(weight, start)
        flow.weight = weight
        flow.add(entry)
        self._entries[entry.entry_id] = entry
        self.total_cost += entry.cost

    def iterate(self) -> Iterator[QueueEntry[Item]]:
        """Iterate over the entries in the order of service, without removing them."""
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
        """Remove an entry that is served, and charge its account."""
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
        """Return the entries whose deadline has passed."""
        late: list[QueueEntry[Item]] = []
        for flow in self._flows.values():
            late += [entry for entry in flow.entries if entry.deadline_s < now]
        return tuple(late)

    def pop_excess(
        self, ahead: float, rate: float, now: float
    ) -> tuple[QueueEntry[Item], ...]:
        """
        Remove and return the newest entries that cannot be served in time.

        :param ahead: work that is served before all entries of this queue.
        :param rate: work that is served each second.
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
        """Count the cost of a request, whether it is admitted or not."""
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

        Until then each other account is served at most in proportion to its weight, so
        a long backlog of one account adds little to the wait of another.

        :param cost: of an entry that the account is about to add.
        :param arrivals: the period in which other accounts are expected to add work;
            None counts queued work only.
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
        """Keep the virtual start of an account that was served ahead of the others."""
        passed = [
            name
            for name, idle_start in self._idle_starts.items()
            if idle_start <= self._virtual_time
        ]
        for name in passed:
            del self._idle_starts[name]
        if start > self._virtual_time:
            self._idle_starts[account] = start


def _entry_order(entry: QueueEntry[Item]) -> tuple[bool, float]:
    return not entry.is_first, entry.deadline_s
