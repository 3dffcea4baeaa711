"""Requests of an entry to agents of plain services, and the interface to them."""

from dataclasses import dataclass
from typing import Protocol

from persimmonferry_core.schema import Service
from persimmonferry_core.topology import Address
from persimmonferry_wire.generated.runs.ttypes import (
    AttemptReply,
    CallReply,
    CallRequest,
)

__all__ = ["AgentHandle", "Agents", "PlainRequest", "build_call"]


@dataclass(frozen=True)
class PlainRequest:
    """
    One request of a caller to a plain service.

    :param account: name of the client account that the key belongs to.
    :param path: with the query string, as the service gets it.
    :param idempotency_key: as the caller sent it; None when it sent none.
    """

    account: str
    service: Service
    method: str
    path: str
    content_type: str
    body: bytes
    idempotency_key: str | None = None


@dataclass(frozen=True)
class AgentHandle:
    """
    One incarnation of an agent.

    :param incarnation: as the agent reported it; a claim is bound to it.
    """

    name: str
    incarnation: int
    address: Address


class Agents(Protocol):
    """The agents that an entry can reach."""

    def choose(
        self, service: Service, excluded: frozenset[str], now: float
    ) -> AgentHandle:
        """
        Choose the agent for the next attempt.

        :param excluded: names of agents that refused this request before.
        :raises NotRun: no agent accepts new work.
        """

    async def call(self, handle: AgentHandle, request: CallRequest) -> CallReply:
        """
        Send one attempt and return the agent's complete reply.

        :raises NotRun: no byte of the request left this process. A reused connection
            gives no such proof: the HTTP client may have sent the request over it
            before it reconnected. Non-idempotent requests need a new connection each.
        :raises OutcomeUnknown: there is no complete reply for any other reason.
        """

    async def query(
        self, handle: AgentHandle, request: CallRequest, fence: bool
    ) -> AttemptReply:
        """
        Query an agent for the state of an attempt.

        :param request: the attempt; only run id, incarnation and start deadline matter.
        :param fence: make the agent refuse the attempt later if it has not received it.
        :raises OutcomeUnknown: no complete reply; raised within a second.
        """


def build_call(
    request: PlainRequest,
    handle: AgentHandle,
    run_id: str,
    start_deadline_s: float,
    *,
    idempotent: bool,
) -> CallRequest:
    """Return the message that requests one attempt from an agent."""
    return CallRequest(
        run_id=run_id,
        service_name=request.service.name,
        method=request.method,
        path=request.path,
        content_type=request.content_type,
        body=request.body,
        incarnation=handle.incarnation,
        start_deadline_s=start_deadline_s,
        idempotent=idempotent,
    )
