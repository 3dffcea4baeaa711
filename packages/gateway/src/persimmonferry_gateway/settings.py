"""Settings of a gateway process."""

from dataclasses import dataclass, replace

from persimmonferry_core.topology import Address
from persimmonferry_core.upstreams import ColdBound

__all__ = ["GatewaySettings", "merge_settings"]

# Fields that are used only at start, to bind, register or lease.
_FIXED_FIELDS = (
    "name",
    "failure_domain",
    "callers",
    "readiness",
    "registry",
    "internal",
    "lease_s",
)


@dataclass(frozen=True)
class GatewaySettings:
    """
    Settings of a gateway process.

    :param callers: address that callers connect to.
    :param readiness: address that the balancer polls.
    :param registry: address of the platform's metadata store.
    :param internal: address for the other gateways (UDP) and for metrics (TCP).
    :param lease_s: time after which the registry ends the leadership of a leader that
        does not renew it.
    :param leader_change_s: minimum time between the orders of two leaders where engines
        don't check fencing tokens.
    :param replaced_weights_limit_s: time after which no prompt may begin on replaced
        weights.
    :param startup_grace_s: time that a process has to run and reach the platform before
        time limits apply to it.
    :param are_orders_fenced: whether engines refuse orders with an old fencing token.
    :param grace_s: time from the stop signal to the kill.
    :param balancer_notice_s: time from the stop signal until the balancer sends no more
        callers.
    :param retry_share: retries of all gateways, as a share of a service's calls.
    :param retry_window_s: window in which retries are counted.
    :param retry_floor: retries that all gateways may make in addition in a window.
    :param memory_bytes: above which the process is killed, None if not stated.
    :param descriptors: that the process may have open, None if not stated.
    :param link_bytes_per_s: that the link of its VM carries, None if not stated.
    :param cold_bound: on the calls to cold upstreams, None if there is none.
    """

    name: str
    failure_domain: str
    callers: Address
    readiness: Address
    registry: Address
    internal: Address
    lease_s: float
    leader_change_s: float
    replaced_weights_limit_s: float
    startup_grace_s: float
    are_orders_fenced: bool
    grace_s: float
    balancer_notice_s: float
    retry_share: float
    retry_window_s: float
    retry_floor: int
    memory_bytes: int | None = None
    descriptors: int | None = None
    link_bytes_per_s: float | None = None
    cold_bound: ColdBound | None = None


def merge_settings(
    current: GatewaySettings, found: GatewaySettings
) -> tuple[GatewaySettings, tuple[str, ...]]:
    """
    Return the settings in force after a change, and the fields that need a restart.

    :param found: the settings as read now.
    """
    kept = {name: getattr(current, name) for name in _FIXED_FIELDS}
    changed = (name for name in kept if getattr(found, name) != kept[name])
    return replace(found, **kept), tuple(changed)
