"""Decides when an engine loads weights and which leases it must hold."""

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

from persimmonferry_core.interfaces import Lease
from persimmonferry_core.runs import EngineLoad, LoadAdapter, LoadVersion
from persimmonferry_core.schema import Service, ServiceKind

__all__ = [
    "LEASE_S",
    "LOAD_TIMEOUT_S",
    "RetryDelay",
    "Turn",
    "choose_order",
    "choose_slot",
    "choose_turn",
    "is_slot_usable",
    "name_engine_lease",
]

LEASE_S = 60.0
LOAD_TIMEOUT_S = 30.0
CLOCK_MARGIN_S = 5.0
FIRST_RETRY_S = 0.5
LAST_RETRY_S = 30.0
RETRY_GROWTH = 1.5


def choose_order(
    service: Service, load: EngineLoad, loaded_adapter: str | None
) -> LoadVersion | LoadAdapter | None:
    """
    Return the next order an engine needs to match the document, or None.

    :param loaded_adapter: adapter loaded for the engine's model and version; None if
        unknown, since engines don't report it.
    """
    if service.kind is not ServiceKind.MODEL or load.loading:
        return None
    if (load.model, load.version) != (service.model, service.version):
        return LoadVersion(service.model, service.version)
    if service.adapter != (loaded_adapter or ""):
        return LoadAdapter(service.model, service.adapter)
    return None


@dataclass(frozen=True)
class Turn:
    """
    When an engine first tries to acquire a loading slot, and which one.

    :param delay_s: delay before the first attempt, in seconds.
    :param slot: index of the slot, from 0.
    """

    delay_s: float = 0.0
    slot: int = 0


def choose_turn(
    engine_name: str, peers: Sequence[str], service: Service, load_s: float
) -> Turn:
    """
    Return the turn of an engine.

    Engines are ranked by a hash of version and name. Each first tries the slot of its
    predecessor when the engines ranked before it should be done, so that they neither
    contend all at once nor for the same slot. Without known peers, the slot is chosen
    by hash.

    :param peers: names of the engines that may also load, as far as known.
    :param load_s: expected duration of one load.

    >>> service = Service("s", ServiceKind.MODEL, loading_slots=2)
    >>> turns = [choose_turn(name, "abcd", service, 3.0) for name in "abcd"]
    >>> sorted((turn.delay_s, turn.slot) for turn in turns)
    [(0.0, 0), (0.0, 1), (3.0, 0), (3.0, 1)]
    """
    slots = max(1, service.loading_slots)
    wanted = f"{service.version} {service.adapter} "
    own = _rank(wanted + engine_name)
    if not peers:
        return Turn(slot=int.from_bytes(own, "big") % slots)
    earlier = sum(_rank(wanted + peer) < own for peer in peers)
    return Turn(earlier // slots * load_s, earlier % slots)


def choose_slot(team: str, service: Service, turn: Turn, attempt: int) -> str:
    """Return the slot lease to acquire; successive attempts cycle through the slots."""
    index = (turn.slot + attempt) % max(1, service.loading_slots)
    return f"slots/{team}/{service.name}/{index}"


def _rank(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def name_engine_lease(team: str, engine_name: str) -> str:
    """
    Return the name of the lease that gives the fencing token of an engine's orders.

    Tokens increase within one lease; those of different slots can't be compared.
    """
    return f"engines/{team}/{engine_name}"


def is_slot_usable(lease: Lease, now: float) -> bool:
    """Return whether a load that starts now ends before the lease can expire."""
    return now + LOAD_TIMEOUT_S + CLOCK_MARGIN_S <= lease.expires_s


class RetryDelay:
    """Exponential back-off for attempts to acquire a slot."""

    def __init__(self) -> None:
        self.attempts = 0

    def record_attempt(self, *, succeeded: bool) -> None:
        """Record an attempt; a successful one resets the back-off."""
        self.attempts = 0 if succeeded else self.attempts + 1

    def compute(self) -> float:
        """
        Return the mean delay before the next attempt, in seconds.

        >>> RetryDelay().compute()
        0.5
        """
        return min(LAST_RETRY_S, FIRST_RETRY_S * RETRY_GROWTH ** min(self.attempts, 16))
