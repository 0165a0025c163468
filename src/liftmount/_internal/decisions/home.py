"""State of the flows whose home is this balancer.

A flow's home is the balancer process that opened it.  The flow's token
names it, so every other balancer forwards the flow's packets there.  Only
the home holds state for the flow: it sequences the flow's requests, so that
no copy of a request runs again, and keeps the position of a stream.  If the
home dies, a stream continues at another balancer, and the result of
requests in progress is unknown.

This module has the state and the helpers that both modes of a service
share.  ``decide(state, event) -> actions`` is in :mod:`requests` for
request services and in :mod:`streams` for stream services.
"""

from heapq import heappop

from attrs import define
from attrs import Factory

from liftmount._internal.decisions.admission import AdmissionQueue
from liftmount._internal.decisions.answers import KeptAnswers
from liftmount._internal.decisions.flows import Flow
from liftmount._internal.decisions.flows import FlowTable
from liftmount._internal.decisions.pool import Pool
from liftmount._internal.decisions.retry import RetryBudget
from liftmount._internal.models.actions import CountRefusal
from liftmount._internal.models.actions import GrantFlow
from liftmount._internal.models.actions import RefuseFlow
from liftmount._internal.models.reasons import Reason

RETRY_AFTER_MS = 500


@define
class PoolState:
    """A pool with its queue of requests and its retry budget."""

    pool: Pool
    queue: AdmissionQueue = Factory(AdmissionQueue)
    retry_budget: RetryBudget = Factory(RetryBudget)


@define
class HomeState:
    """The state of one balancer process as the home of flows.

    ``pools`` is keyed by pool key and ``pending`` by request id.
    ``by_number`` maps (nonce, number) to the request id, and ``deadlines``
    is a heap of (time in ms, request id).  ``draining`` holds (target,
    incarnation) of targets that reported themselves as draining.
    ``leaving`` is set while this balancer shuts down.
    """

    flows: FlowTable
    answers: KeptAnswers
    failure_domain: str = ''
    pools: dict[str, PoolState] = Factory(dict)
    pending: dict = Factory(dict)
    by_number: dict = Factory(dict)
    deadlines: list = Factory(list)
    draining: set = Factory(set)
    next_request_id: int = 1
    leaving: bool = False

    def pool_state(self, key: str) -> PoolState:
        """Return the state of a pool, creating it on first use."""
        found = self.pools.get(key)
        if found is None:
            pool = Pool(key, failure_domain=self.failure_domain)
            found = self.pools[key] = PoolState(pool)
        return found


def make_home_state(limits, failure_domain: str) -> HomeState:
    """Return an empty state; ``limits`` are LimitSettings."""
    flows = FlowTable(limits.max_flows, limits.flow_idle_ms)
    answers = KeptAnswers(limits.answer_keep_ms, limits.answer_keep_bytes)
    return HomeState(flows, answers, failure_domain)


def refuse_flow(event, reason: Reason) -> list:
    """Return the actions that refuse to open a flow."""
    refusal = RefuseFlow(
        caller=event.caller,
        address=event.service.address,
        flow_id=event.flow_id,
        reason=reason,
        retry_after_ms=RETRY_AFTER_MS,
    )
    return [CountRefusal(reason), refusal]


def regrant_flow(state: HomeState, event):
    """Return the grant of a flow that is already open, or None."""
    known = state.flows.find(event.caller, event.flow_id)
    if known is None or known.service != event.service:
        return None
    known.last_seen_ms = event.now_ms
    return grant_flow(known)


def refresh_flow(state: HomeState, event) -> Flow | None:
    """Update a flow's last use and address; return None if unknown."""
    flow = state.flows.get(event.nonce)
    if flow is not None:
        flow.last_seen_ms = event.now_ms
        state.flows.update_caller(flow, event.caller)
    return flow


def new_flow(event, target: str = '', incarnation: int = 0) -> Flow:
    """Return the flow that ``event`` asks to open."""
    return Flow(
        nonce=event.nonce,
        service=event.service,
        caller=event.caller,
        flow_id=event.flow_id,
        last_seen_ms=event.now_ms,
        target=target,
        target_incarnation=incarnation,
        name=event.name,
        acknowledged_sequence=event.sequence,
        pushed_sequence=event.sequence,
    )


def grant_flow(flow: Flow) -> GrantFlow:
    """Return the action that sends a caller its token."""
    return GrantFlow(
        caller=flow.caller,
        service=flow.service,
        flow_id=flow.flow_id,
        nonce=flow.nonce,
        target=flow.target,
        target_incarnation=flow.target_incarnation,
    )


def pop_due(deadlines: list, now_ms: int):
    """Remove and yield the ids whose deadline has passed, in order."""
    while deadlines and deadlines[0][0] <= now_ms:
        yield heappop(deadlines)[1]
