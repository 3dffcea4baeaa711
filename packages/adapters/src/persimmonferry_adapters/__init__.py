"""Adapters of persimmonferry to engines, stores and the platform."""

from persimmonferry_adapters.engine import HttpEngine
from persimmonferry_adapters.plain import HttpPlainService
from persimmonferry_adapters.platform import HttpPlatform
from persimmonferry_adapters.store import HttpStore
from persimmonferry_adapters.vms import HttpVMList

__all__ = ["HttpEngine", "HttpPlainService", "HttpPlatform", "HttpStore", "HttpVMList"]
