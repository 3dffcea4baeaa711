"""A gateway that forwards callers' calls directly to the upstreams of a platform."""

from persimmonferry_gateway.gateway import Gateway
from persimmonferry_gateway.process import run_gateway
from persimmonferry_gateway.settings import GatewaySettings

__all__ = ["Gateway", "GatewaySettings", "run_gateway"]
