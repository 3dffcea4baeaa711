"""Since when versions of models' weights are wanted, as far as a process knows."""

from collections.abc import Mapping

__all__ = ["NamedWeights"]

# A version that may have been named so long before it was heard of is asked for.
MAX_UNCERTAINTY_S = 1.0
UNKNOWN_S = float("-inf")


class NamedWeights:
    """
    The earliest time at which each version of models' weights may have been named.

    Load pattern: a process that has just started, or was frozen or disconnected, hears
    of a version long after it was named. Until another process has told it when that
    was, the version counts as named when its changes were last known, or for ever. Each
    source states a time before which the version was not named, so the latest of these
    times holds.

    All times are on one clock, which counts time in which the process is suspended.

    >>> named = NamedWeights()
    >>> named.record("m1", 2, UNKNOWN_S, 100.0)
    >>> named.find("m1"), named.uncertain
    ({2: -inf}, frozenset({'m1'}))
    >>> named.learn("m1", 2, 97.0)
    >>> named.settle("m1")
    >>> named.find("m1"), named.uncertain
    ({2: 97.0}, frozenset())
    """

    def __init__(self) -> None:
        self._earliest_s: dict[str, dict[int, float]] = {}
        self._assumed_s = UNKNOWN_S
        self._uncertain: set[str] = set()

    @property
    def uncertain(self) -> frozenset[str]:
        """Return the models of which another process may know more."""
        return frozenset(self._uncertain)

    @property
    def models(self) -> tuple[str, ...]:
        """Return the models of which a version was named."""
        return tuple(self._earliest_s)

    def record(self, model: str, version: int, earliest_s: float, now: float) -> None:
        """
        Record a version of which this process has just heard.

        :param earliest_s: before which it was not named, minus infinity if unknown.
        """
        known = self._earliest_s.setdefault(model, {})
        known[version] = max(earliest_s, known.get(version, UNKNOWN_S))
        if now - earliest_s > MAX_UNCERTAINTY_S:
            self._uncertain.add(model)

    def learn(self, model: str, version: int, earliest_s: float) -> None:
        """
        Record what another process has told about a version.

        This one may not have heard of it, as it was replaced before, or not yet.
        """
        known = self._earliest_s.get(model)
        if known is not None:
            known[version] = max(earliest_s, known.get(version, UNKNOWN_S))

    def settle(self, model: str) -> None:
        """
        Record that another process has told all that it knows about a model.

        It may not have heard of a version yet, of which others may know.
        """
        if UNKNOWN_S not in self._earliest_s.get(model, {}).values():
            self._uncertain.discard(model)

    def assume(self, earliest_s: float) -> None:
        """Take the versions for named then whose time no other process has told."""
        self._assumed_s = earliest_s
        self._uncertain.clear()

    def find(self, model: str) -> Mapping[int, float]:
        """Return the earliest time at which each version may have been named."""
        return {
            version: self._assumed_s if earliest_s == UNKNOWN_S else earliest_s
            for version, earliest_s in self._earliest_s.get(model, {}).items()
        }

    def list_known(self, model: str) -> Mapping[int, float]:
        """Return these times without assumptions, empty if one is unknown."""
        known = self._earliest_s.get(model, {})
        return {} if UNKNOWN_S in known.values() else dict(known)
