"""
Interfaces to the outside systems.

The adapters package implements each of them once over HTTP; tests and the demo meet
them through the stand-ins. Another protocol touches one module of that package.
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
        Run a prompt, hand over tokens as they come, and return the end mark.

        :raises NotRun: the engine provably did not start the run.
        :raises OutcomeUnknown: lost, late, cut short, or another run's answer.
        """

    async def cancel(self, run_id: str) -> None:
        """Stop a run; a run that is not known is no error."""

    async def read_load(self) -> EngineLoad:
        """Return the reported load."""

    async def read_cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the events behind a sequence number that are published so far."""

    async def export_block(self, name: str) -> bytes:
        """
        Return the bytes of a cached block.

        :raises StoreError: the engine holds no such block.
        """

    async def import_block(self, name: str, data: bytes) -> None:
        """Put a block into the engine's cache."""

    async def give_order(self, order: EngineOrder) -> None:
        """
        Give an order; returns when it is done.

        :raises NotRun: with FENCING_REFUSED when the engine refuses the number.
        """


class PlainService(Protocol):
    """A plain service on the same VM."""

    async def call(self, order: CallOrder) -> CallAnswer:
        """
        Make one call.

        :raises NotRun: no byte of the call reached the service, or it refused.
        :raises OutcomeUnknown: bytes went out and no whole answer came back.
        """

    async def read_load(self) -> PlainLoad:
        """Return the reported load."""


@dataclass(frozen=True)
class StoredBlock:
    """
    What a store VM returns for a name.

    :param generation: changes each time the space is written anew.
    :param committed: whether the commit mark is set.
    """

    name: str
    generation: int
    committed: bool
    data: bytes


@dataclass(frozen=True)
class StoreUsage:
    """Bytes in use and bytes in all."""

    used_bytes: int
    capacity_bytes: int


class Store(Protocol):
    """A store VM with memory and disk."""

    async def write(self, name: str, data: bytes) -> int:
        """
        Write a block without its commit mark and return its generation.

        :raises StoreError: full, or not reachable.
        """

    async def commit(self, name: str, generation: int) -> None:
        """
        Set the commit mark.

        :raises StoreError: the generation is gone.
        """

    async def read(self, name: str) -> StoredBlock:
        """
        Return a block as it lies there.

        :raises StoreError: no such block, or not reachable.
        """

    async def read_generation(self, name: str) -> int:
        """Return the generation that a committed name has now, 0 when it is gone."""

    async def remove(self, name: str, generation: int) -> None:
        """Free a block if it still has that generation."""

    async def list_names(self) -> tuple[str, ...]:
        """Return the names of all blocks."""

    async def read_usage(self) -> StoreUsage:
        """Return how full the store is."""


@dataclass(frozen=True)
class Versioned:
    """
    A value of the platform's key-value service.

    :param revision: 0 for a key that has no value yet; grows with each write.
    """

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True)
class Lease:
    """
    A lease that was granted.

    :param fencing: grows with each grant to a new holder.
    :param expires_s: when it lapses, on the asker's clock.
    """

    name: str
    holder: str
    fencing: int
    expires_s: float


class Platform(Protocol):
    """The platform's key-value service; every method counts as one call."""

    async def read(self, key: str) -> Versioned:
        """
        Return a value.

        :raises PlatformUnavailable: no answer.
        """

    async def swap(self, key: str, value: bytes, expected: int) -> Versioned:
        """
        Write a value if the key still has the expected revision.

        :raises SwapConflict: it has another one.
        :raises PlatformUnavailable: the write provably took no effect.
        :raises PlatformAnswerLost: the write may have taken effect.
        """

    async def watch(self, key: str, after: int, wait_s: float) -> Versioned | None:
        """
        Return the value when its revision is above ``after``, None after ``wait_s``.

        :raises PlatformUnavailable: no answer.
        """

    async def acquire_lease(
        self, name: str, holder: str, duration_s: float, now: float
    ) -> Lease | None:
        """
        Take or renew a lease; None when another holder has it.

        :raises PlatformUnavailable: no answer.
        """

    async def release_lease(self, lease: Lease) -> None:
        """Give a lease back."""


class VMList(Protocol):
    """The platform's list of live and leaving VMs; it lags."""

    async def read(self) -> tuple[VM, ...]:
        """
        Return the list.

        :raises PlatformUnavailable: no answer.
        """
