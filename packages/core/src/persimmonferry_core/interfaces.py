"""
Interfaces to external systems.

The adapters package implements each of them over HTTP; tests and the demo run these
adapters against the stand-ins. Supporting another protocol changes one module there.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from persimmonferry_core.runs import (
    CacheEvent,
    CallAnswer,
    CallOrder,
    EngineLoad,
    EngineOrder,
    PlainLoad,
    RunEnd,
    RunOrder,
    TokenBatch,
)
from persimmonferry_core.topology import VM

__all__ = [
    "Engine",
    "Lease",
    "PlainService",
    "Platform",
    "Store",
    "StoreUsage",
    "StoredBlock",
    "VMList",
    "Versioned",
]


class Engine(Protocol):
    """A model engine on the same VM."""

    async def run(
        self, order: RunOrder, deliver: Callable[[TokenBatch], None]
    ) -> RunEnd:
        """
        Run a prompt, deliver tokens as they are generated, and return the end mark.

        :raises NotRun: the engine provably did not start the run.
        :raises OutcomeUnknown: the connection was lost, or the answer was late,
            truncated, or from another run.
        """

    async def cancel(self, run_id: str) -> None:
        """Stop a run; an unknown run is ignored."""

    async def read_load(self) -> EngineLoad:
        """Return the reported load."""

    async def read_cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the events after a sequence number that are published so far."""

    async def export_block(self, name: str) -> bytes:
        """
        Return the bytes of a cached block.

        :raises StoreError: the engine has no such block.
        """

    async def import_block(self, name: str, data: bytes) -> None:
        """Put a block into the engine's cache."""

    async def give_order(self, order: EngineOrder) -> None:
        """
        Execute an order, and return when it is done.

        :raises NotRun: with FENCING_REFUSED if the engine refuses the fencing token.
        """


class PlainService(Protocol):
    """A plain service on the same VM."""

    async def call(self, order: CallOrder) -> CallAnswer:
        """
        Make one call.

        :raises NotRun: no byte of the call reached the service, or it refused.
        :raises OutcomeUnknown: bytes were sent, but no complete answer was received.
        """

    async def read_load(self) -> PlainLoad:
        """Return the reported load."""


@dataclass(frozen=True)
class StoredBlock:
    """
    A block as returned by a store VM.

    :param generation: changes each time the space is rewritten.
    :param committed: whether the commit mark is set.
    """

    name: str
    generation: int
    committed: bool
    data: bytes


@dataclass(frozen=True)
class StoreUsage:
    """Used and total bytes of a store."""

    used_bytes: int
    capacity_bytes: int


class Store(Protocol):
    """A store VM with memory and disk."""

    async def write(self, name: str, data: bytes) -> int:
        """
        Write a block without its commit mark and return its generation.

        :raises StoreError: the store is full or unreachable.
        """

    async def commit(self, name: str, generation: int) -> None:
        """
        Set the commit mark.

        :raises StoreError: the block with this generation no longer exists.
        """

    async def read(self, name: str) -> StoredBlock:
        """
        Return a block as stored.

        :raises StoreError: the block doesn't exist or the store is unreachable.
        """

    async def read_generation(self, name: str) -> int:
        """Return the generation of a committed block, 0 if there is no such block."""

    async def remove(self, name: str, generation: int) -> None:
        """Remove a block if it still has this generation."""

    async def list_names(self) -> tuple[str, ...]:
        """Return the names of all blocks."""

    async def read_usage(self) -> StoreUsage:
        """Return the used and total bytes."""


@dataclass(frozen=True)
class Versioned:
    """
    A value of the platform's key-value service.

    :param revision: 0 for a key without a value; increases with each write.
    """

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True)
class Lease:
    """
    A granted lease.

    :param fencing: fencing token; increases with each grant to a new holder.
    :param expires_s: expiry time by the holder's clock.
    """

    name: str
    holder: str
    fencing: int
    expires_s: float


class Platform(Protocol):
    """The platform's key-value service; each method makes one call."""

    async def read(self, key: str) -> Versioned:
        """
        Return a value.

        :raises PlatformUnavailable: the service did not reply.
        """

    async def swap(self, key: str, value: bytes, expected: int) -> Versioned:
        """
        Write a value if the key still has the expected revision (compare-and-swap).

        :raises SwapConflict: the key has another revision.
        :raises PlatformUnavailable: the write provably had no effect.
        :raises PlatformAnswerLost: the write may have taken effect.
        """

    async def watch(self, key: str, after: int, wait_s: float) -> Versioned | None:
        """
        Wait until the revision is above ``after`` and return the value.

        :returns: None if this takes longer than ``wait_s``.
        :raises PlatformUnavailable: the service did not reply.
        """

    async def acquire_lease(
        self, name: str, holder: str, duration_s: float, now: float
    ) -> Lease | None:
        """
        Acquire or renew a lease; return None if another holder has it.

        :raises PlatformUnavailable: the service did not reply.
        """

    async def release_lease(self, lease: Lease) -> None:
        """Release a lease."""


class VMList(Protocol):
    """The platform's list of live and leaving VMs; it lags behind their state."""

    async def read(self) -> tuple[VM, ...]:
        """
        Return the list.

        :raises PlatformUnavailable: the service did not reply.
        """
