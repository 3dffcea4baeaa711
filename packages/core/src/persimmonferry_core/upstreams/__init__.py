"""What an entry knows of upstreams, and how much work each of them may get."""

from persimmonferry_core.upstreams.availability import (
    Closure,
    UpstreamAvailability,
    name_closure,
)
from persimmonferry_core.upstreams.call_rates import (
    CallRates,
    ColdBound,
    RateCeiling,
    SentNews,
)
from persimmonferry_core.upstreams.cooldowns import UpstreamCooldowns
from persimmonferry_core.upstreams.ejection import (
    Closed,
    EjectionPolicy,
    Ejector,
    HalfOpen,
    Open,
)
from persimmonferry_core.upstreams.limits import (
    LimitNotice,
    UpstreamLimits,
    make_notice,
)
from persimmonferry_core.upstreams.pace import UpstreamPaces
from persimmonferry_core.upstreams.speeds import UpstreamSpeed
from persimmonferry_core.upstreams.subsets import UpstreamSubsets, rank_entries
from persimmonferry_core.upstreams.unread_answers import UnreadAnswers
from persimmonferry_core.upstreams.views import (
    ImportPlan,
    PeerWork,
    Route,
    Upstream,
    UpstreamReport,
    limit_slots,
    record_paced_time,
)

__all__ = [
    "CallRates",
    "Closed",
    "Closure",
    "ColdBound",
    "EjectionPolicy",
    "Ejector",
    "HalfOpen",
    "ImportPlan",
    "LimitNotice",
    "Open",
    "PeerWork",
    "RateCeiling",
    "Route",
    "SentNews",
    "UnreadAnswers",
    "Upstream",
    "UpstreamAvailability",
    "UpstreamCooldowns",
    "UpstreamLimits",
    "UpstreamPaces",
    "UpstreamReport",
    "UpstreamSpeed",
    "UpstreamSubsets",
    "limit_slots",
    "make_notice",
    "name_closure",
    "rank_entries",
    "record_paced_time",
]
