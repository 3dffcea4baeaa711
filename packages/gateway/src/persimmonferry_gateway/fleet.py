"""The upstreams in use: those registered, and those whose entries just expired."""

from dataclasses import dataclass, field

from persimmonferry_core.deployment import UpstreamRecord

__all__ = ["Fleet"]

# Upstreams whose entries expired during a registry outage register again within this
# time.
REREGISTRATION_GRACE_S = 2.0
MAX_DROPPED_UPSTREAMS = 1024
# Upstreams renew their entries about once a second, so one of a former start that was
# written late is followed by one of the present start within this time.
RENEWAL_S = 2.5


@dataclass
class Fleet:
    """
    The upstreams that may be used. It has no clock; callers pass the time.

    An entry that is removed while the registry is reachable means that its upstream
    is gone. One that is missing just after an outage may only have expired.
    """

    records: dict[str, UpstreamRecord] = field(default_factory=dict)
    _removal_due_s: dict[str, float] = field(default_factory=dict)
    _received_s: dict[str, float] = field(default_factory=dict)
    # Incarnations of the upstreams that were dropped last.
    _dropped: dict[str, int] = field(default_factory=dict)
    # Since when the entries of upstreams have had an earlier incarnation than before.
    _earlier_since_s: dict[str, float] = field(default_factory=dict)
    _is_registry_lost: bool = False
    # Whether the first entries after an outage are being received, which may have been
    # written before it.
    _is_first_after_outage: bool = False
    _restored_s: float = float("-inf")
    # Until when the registry was known before its last outage, on the boot clock.
    _known_until_s: float = float("-inf")

    def record_registry_lost(self, known_until_s: float) -> None:
        """
        Record that the registry does not respond.

        :param known_until_s: until when its changes are known, on the boot clock.
        """
        self._is_registry_lost = True
        self._known_until_s = known_until_s

    def record_registry_restored(self, now: float) -> None:
        """Record that the registry responds again."""
        if self._is_registry_lost:
            self._restored_s = now
            self._is_first_after_outage = True
        self._is_registry_lost = False

    def record_received(self) -> None:
        """Record that all entries of a response have been put or removed."""
        self._is_first_after_outage = False

    def record_history_replaced(self, now: float) -> None:
        """Record that the registry has come back from an older copy."""
        self._is_registry_lost = False
        self._is_first_after_outage = True
        self._restored_s = now

    def is_outdated(self, record: UpstreamRecord) -> bool:
        """
        Return whether an entry of an older copy has been replaced or removed since.

        Its upstream has restarted, is leaving or is gone, unless it writes the entry
        again.
        """
        dropped = self._dropped.get(record.name)
        if dropped is not None and record.incarnation <= dropped:
            return True
        known = self.records.get(record.name)
        if known is None or record.incarnation > known.incarnation:
            return False
        return record.incarnation < known.incarnation or known.is_leaving

    def is_known_at(self, name: str, registered_by_s: float, now: float) -> bool:
        """
        Whether an upstream's entry is that of the process that had it at a time.

        :param registered_by_s: on the boot clock.
        """
        return registered_by_s <= self._known_until_s or self.is_settled(name, now)

    def is_settled(self, name: str, now: float) -> bool:
        """
        Whether the registry holds what an upstream has written last.

        After an outage of the registry, entries that expired or were lost in it are
        missing until their upstreams have written them again. While entries of two
        incarnations come, it is open which one is the present one.
        """
        if self._is_registry_lost or name in self._earlier_since_s:
            return False
        is_received = self._received_s.get(name, float("-inf")) >= self._restored_s
        return is_received or now >= self._restored_s + REREGISTRATION_GRACE_S

    def is_written_late(self, record: UpstreamRecord, now: float) -> bool:
        """Return whether an entry is probably that of a former start."""
        known = self.records.get(record.name)
        if known is None or record.incarnation >= known.incarnation:
            return False
        since_s = self._earlier_since_s.setdefault(record.name, now)
        return now < since_s + RENEWAL_S

    def put(self, record: UpstreamRecord, now: float) -> None:
        """Add or replace an entry."""
        if not self._is_first_after_outage:
            self._received_s[record.name] = now
        self._earlier_since_s.pop(record.name, None)
        self._removal_due_s.pop(record.name, None)
        self._dropped.pop(record.name, None)
        self.records[record.name] = record

    def remove(self, name: str, now: float) -> None:
        """Remove an entry, after a grace period if the registry was just restored."""
        if name not in self.records:
            return
        deadline_s = self._restored_s + REREGISTRATION_GRACE_S
        if now < deadline_s and not self.records[name].is_leaving:
            self._removal_due_s.setdefault(name, deadline_s)
        else:
            self.drop(name)

    def keep_only(self, names: frozenset[str], now: float) -> tuple[str, ...]:
        """Remove all other entries, and return the upstreams that were dropped."""
        before = tuple(self.records)
        for name in before:
            if name not in names:
                self.remove(name, now)
        return tuple(name for name in before if name not in self.records)

    def find_incarnation(self, name: str) -> int | None:
        """Return the incarnation of an upstream's last entry, None if unknown."""
        record = self.records.get(name)
        return record.incarnation if record else self._dropped.get(name)

    def drop(self, name: str) -> None:
        """Drop an upstream at once."""
        self._earlier_since_s.pop(name, None)
        self._removal_due_s.pop(name, None)
        self._received_s.pop(name, None)
        record = self.records.pop(name, None)
        if record is not None:
            self._dropped[name] = record.incarnation
        if len(self._dropped) > MAX_DROPPED_UPSTREAMS:
            del self._dropped[next(iter(self._dropped))]

    def expire(self, now: float) -> tuple[str, ...]:
        """Drop and return the upstreams that did not register again in time."""
        gone = tuple(
            name for name, end_s in self._removal_due_s.items() if now >= end_s
        )
        for name in gone:
            self.drop(name)
        return gone
