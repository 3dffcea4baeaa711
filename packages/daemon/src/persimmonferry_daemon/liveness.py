"""Probes the liveness of an agent while its reply is pending."""

import asyncio

from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import OutcomeUnknown
from persimmonferry_wire.generated.runs.ttypes import CallReply, CallRequest

from persimmonferry_daemon.agent_links import AgentHandle, Agents

__all__ = ["call_with_liveness_probes"]

PROBE_INTERVAL_S = 0.5
MAX_FAILED_PROBES = 2


async def call_with_liveness_probes(
    agents: Agents, handle: AgentHandle, message: CallRequest
) -> CallReply:
    """
    Send one attempt, and probe the agent while the reply is pending.

    A call may take long; without probes, an agent that is frozen or unreachable would
    block its caller for as long as the longest call may take.

    :raises NotRun: as :meth:`Agents.call`.
    :raises OutcomeUnknown: no complete reply, or no reply to the probes.
    """
    call = asyncio.ensure_future(agents.call(handle, message))
    failed_probes = 0
    try:
        while failed_probes < MAX_FAILED_PROBES:
            await asyncio.wait({call}, timeout=PROBE_INTERVAL_S)
            if call.done():
                return call.result()
            failed_probes = (
                0 if await _is_alive(agents, handle, message) else failed_probes + 1
            )
        if call.done():
            return call.result()
    finally:
        call.cancel()
    raise OutcomeUnknown(ResultCode.UPSTREAM_LOST, "no reply to liveness probes")


async def _is_alive(agents: Agents, handle: AgentHandle, message: CallRequest) -> bool:
    try:
        await agents.query(handle, message, fence=False)
    except OutcomeUnknown:
        return False
    return True
