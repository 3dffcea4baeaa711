"""Decides when an engine loads weights, and under which leases."""

import hashlib

from persimmonferry_core.contracts import Service, ServiceKind
from persimmonferry_core.interfaces import Lease
from persimmonferry_core.runs import EngineLoad, LoadAdapter, LoadVersion

__all__ = [
    "LEASE_S",
    "LOAD_TIMEOUT_S",
    "RetryDelay",
    "choose_order",
    "choose_slot",
    "is_slot_usable",
    "name_engine_lease",
]

LEASE_S = 60.0
LOAD_TIMEOUT_S = 30.0
CLOCK_MARGIN_S = 5.0
FIRST_RETRY_S = 0.5
LAST_RETRY_S = 30.0


def choose_order(
    service: Service, load: EngineLoad, loaded_adapter: str | None
) -> LoadVersion | LoadAdapter | None:
    """
    Return the next order that brings an engine to what the document wants.

    :param loaded_adapter: that was loaded for the engine's model and version, None when
        not known, since engines don't report it.
    """
    if service.kind is not ServiceKind.MODEL or load.loading:
        return None
    if (load.model, load.version) != (service.model, service.version):
        return LoadVersion(service.model, service.version)
    if service.adapter != (loaded_adapter or ""):
        return LoadAdapter(service.model, service.adapter)
    return None


def choose_slot(team: str, service: Service, holder: str, attempt: int) -> str:
    """
    Return the name of the slot lease to ask for.

    Holders start at different slots and go round, one slot for each attempt.
    """
    digest = hashlib.blake2b(holder.encode(), digest_size=4).digest()
    start = int.from_bytes(digest, "big")
    index = (start + attempt) % max(1, service.loading_slots)
    return f"slots/{team}/{service.name}/{index}"


def name_engine_lease(team: str, engine_name: str) -> str:
    """
    Return the name of the lease whose fencing number goes with an engine's orders.

    The numbers of one lease grow; those of different slots can't be compared.
    """
    return f"engines/{team}/{engine_name}"


def is_slot_usable(lease: Lease, now: float) -> bool:
    """Whether a load that starts now is over before the lease can have lapsed."""
    return now + LOAD_TIMEOUT_S + CLOCK_MARGIN_S <= lease.expires_s


class RetryDelay:
    """Doubles the pause after each attempt that found no free slot."""

    def __init__(self) -> None:
        self.attempts = 0

    def note_attempt(self, succeeded: bool) -> None:
        """Count an attempt, or start again after one that succeeded."""
        self.attempts = 0 if succeeded else self.attempts + 1

    def compute(self) -> float:
        """
        Return the mean pause before the next attempt, in seconds.

        >>> RetryDelay().compute()
        0.5
        """
        return min(LAST_RETRY_S, FIRST_RETRY_S * 2.0 ** min(self.attempts, 16))
