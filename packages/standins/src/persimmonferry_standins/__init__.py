"""Stand-ins for the outside systems of persimmonferry, for tests and the demo."""

from persimmonferry_standins.control import Control, ControlReport, OrderRuns
from persimmonferry_standins.engine import EngineSettings, EngineStandIn
from persimmonferry_standins.plain import PlainSettings, PlainStandIn
from persimmonferry_standins.platform import PlatformSettings, PlatformStandIn
from persimmonferry_standins.session import open_session
from persimmonferry_standins.store import StoreSettings, StoreStandIn
from persimmonferry_standins.tokens import answer_token, answer_tokens, block_bytes
from persimmonferry_standins.vms import VMListStandIn
from persimmonferry_standins.weights import WeightsSettings, WeightsStandIn

__all__ = [
    "Control",
    "ControlReport",
    "EngineSettings",
    "EngineStandIn",
    "OrderRuns",
    "PlainSettings",
    "PlainStandIn",
    "PlatformSettings",
    "PlatformStandIn",
    "StoreSettings",
    "StoreStandIn",
    "VMListStandIn",
    "WeightsSettings",
    "WeightsStandIn",
    "answer_token",
    "answer_tokens",
    "block_bytes",
    "open_session",
]
