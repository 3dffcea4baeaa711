"""Settings of a gateway process."""

from dataclasses import dataclass, replace

from persimmonferry_core.topology import Address

__all__ = ["GatewaySettings", "merge_settings"]

# They are bound, registered or leased when the process starts.
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
    What a gateway learns before it starts.

    :param callers: address that callers connect to.
    :param readiness: address that the balancer asks.
    :param internal: address for the other gateways (UDP) and for metrics (TCP).
    :param lease_s: after which the registry gives the duty of a silent holder to
        another one.
    :param turn_s: that has to lie between the orders of two holders where engines don't
        check fencing numbers.
    :param version_s: after which no prompt may begin on replaced weights.
    :param contact_s: that a process has to run and reach the platform before it is held
        to bounds of time.
    :param are_orders_fenced: whether engines refuse orders with an old fencing number.
    :param grace_s: from the stop signal to the kill.
    :param notice_s: from the stop signal until the balancer sends no more callers.
    :param retry_share: repeats of all gateways, as a share of a service's calls.
    :param retry_window_s: in which repeats are counted.
    :param retry_floor: repeats that all gateways may make besides in a window.
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


def merge_settings(
    current: GatewaySettings, found: GatewaySettings
) -> tuple[GatewaySettings, tuple[str, ...]]:
    """
    Return what is in force after a change, and which changed fields need a restart.

    :param found: the settings as they are now.
    """
    kept = {name: getattr(current, name) for name in _FIXED_FIELDS}
    changed = (name for name in kept if getattr(found, name) != kept[name])
    return replace(found, **kept), tuple(changed)
