"""The store VMs of one failure domain as a source of blocks, with the link to them."""

from collections.abc import Callable, Mapping

from persimmonferry_core.block_imports import LinkEstimate
from persimmonferry_core.interfaces import Store

from persimmonferry_daemon.block_stores import BlockStores

__all__ = ["BlockSource"]


class BlockSource:
    """
    Stores, and the measured throughput of the link to them.

    :param find_stores: returns the stores by VM name.
    :param bytes_per_s: rate of the link until it was measured.
    :param price_per_gb: of 10^9 bytes over the link, in the team's currency.
    :param clock: returns the present time in seconds.
    """

    def __init__(
        self,
        find_stores: Callable[[], Mapping[str, Store]],
        bytes_per_s: float,
        price_per_gb: float,
        clock: Callable[[], float],
    ) -> None:
        self.stores = BlockStores(find_stores, clock)
        self.price_per_gb = price_per_gb
        self._clock = clock
        self._link = LinkEstimate(
            start_bytes_per_s=bytes_per_s, bytes_per_s=bytes_per_s
        )

    def read_rate(self) -> float:
        """Return the expected throughput of the link, in bytes a second."""
        return self._link.read_rate(self._clock())

    def record_transfer(self, size_bytes: int, elapsed_s: float) -> None:
        """Record a transfer that ended."""
        self._link = self._link.add_transfer(size_bytes, elapsed_s, self._clock())

    def record_abandoned(self, size_bytes: float, elapsed_s: float) -> None:
        """Record a transfer that was aborted."""
        self._link = self._link.add_abandoned(size_bytes, elapsed_s, self._clock())
