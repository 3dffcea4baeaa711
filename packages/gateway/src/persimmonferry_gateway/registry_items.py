"""Applies items of the registry one by one."""

import logging
from collections.abc import Callable, Iterable

from persimmonferry_gateway.interfaces import Item

__all__ = ["apply_each"]

_log = logging.getLogger(__name__)


def apply_each(items: Iterable[Item], apply: Callable[[Item], None]) -> None:
    """
    Apply each item; an error with one of them is logged and doesn't end the others.

    Other writers add items too. One that ends the application of a list would keep each
    gateway that starts from all items that are listed behind it.
    """
    for item in items:
        try:
            apply(item)
        except Exception:
            fields = {"key": item.key, "revision": item.revision}
            _log.exception("registry item could not be applied", extra=fields)
