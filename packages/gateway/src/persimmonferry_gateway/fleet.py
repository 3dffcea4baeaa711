"""Which upstreams there are: their registry entries, and those that lapsed."""

from dataclasses import dataclass, field

from persimmonferry_core.deployment import UpstreamRecord

__all__ = ["Fleet"]

# Entries that lapsed while the registry was away are back within two seconds.
REREGISTRATION_GRACE_S = 2.0


@dataclass
class Fleet:
    """
    The upstreams that may be used, with the time as an argument.

    An entry that goes while the registry can be reached means that its upstream
    leaves. One that is missing just after an outage may only have lapsed.
    """

    records: dict[str, UpstreamRecord] = field(default_factory=dict)
    _removal_due_s: dict[str, float] = field(default_factory=dict)
    _is_registry_lost: bool = False
    _restored_s: float = float("-inf")

    def record_registry_lost(self) -> None:
        """Note that the registry does not answer."""
        self._is_registry_lost = True

    def record_registry_restored(self, now: float) -> None:
        """Note that the registry answers again."""
        if self._is_registry_lost:
            self._restored_s = now
        self._is_registry_lost = False

    def put(self, record: UpstreamRecord) -> None:
        """Take over an entry."""
        self._removal_due_s.pop(record.name, None)
        self.records[record.name] = record

    def remove(self, name: str, now: float) -> None:
        """Note that an entry is gone."""
        if name not in self.records:
            return
        deadline_s = self._restored_s + REREGISTRATION_GRACE_S
        if now < deadline_s and not self.records[name].is_leaving:
            self._removal_due_s.setdefault(name, deadline_s)
        else:
            self.drop(name)

    def keep_only(self, names: frozenset[str], now: float) -> tuple[str, ...]:
        """Note that these are all entries there are, and return whom it forgot."""
        before = tuple(self.records)
        for name in before:
            if name not in names:
                self.remove(name, now)
        return tuple(name for name in before if name not in self.records)

    def drop(self, name: str) -> None:
        """Forget an upstream at once."""
        self._removal_due_s.pop(name, None)
        self.records.pop(name, None)

    def expire(self, now: float) -> tuple[str, ...]:
        """Forget and return the upstreams whose entries did not come back in time."""
        gone = tuple(
            name for name, end_s in self._removal_due_s.items() if now >= end_s
        )
        for name in gone:
            self.drop(name)
        return gone
