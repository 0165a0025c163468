"""The home of flows: everything that needs state of a flow.

``decide(state, event) -> actions`` for both modes of a service; requests
are in :mod:`requests` beside this module, streams in :mod:`streams`.
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
    """A pool with the requests that wait for it."""

    pool: Pool
    queue: AdmissionQueue = Factory(AdmissionQueue)
    retry_budget: RetryBudget = Factory(RetryBudget)


@define
class HomeState:
    """Everything that one balancer knows as a home.

    ``draining`` holds (target, incarnation) of targets that said
    themselves that they leave.
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
        """Return the state of a pool, made on first use."""
        found = self.pools.get(key)
        if found is None:
            pool = Pool(key, failure_domain=self.failure_domain)
            found = self.pools[key] = PoolState(pool)
        return found


def make_home_state(limits, failure_domain: str) -> HomeState:
    """Return an empty state within the limits of the settings."""
    flows = FlowTable(limits.max_flows, limits.flow_idle_ms)
    answers = KeptAnswers(limits.answer_keep_ms, limits.answer_keep_bytes)
    return HomeState(flows, answers, failure_domain)


def refuse_flow(event, reason: Reason) -> list:
    """Return the actions that refuse a flow."""
    refusal = RefuseFlow(
        caller=event.caller,
        address=event.service.address,
        flow_id=event.flow_id,
        reason=reason,
        retry_after_ms=RETRY_AFTER_MS,
    )
    return [CountRefusal(reason), refusal]


def regrant_flow(state: HomeState, event):
    """Return the grant of a flow that was asked for before, or None."""
    known = state.flows.find(event.caller, event.flow_id)
    if known is None or known.service != event.service:
        return None
    known.last_seen_ms = event.now_ms
    return grant_flow(known)


def refresh_flow(state: HomeState, event) -> Flow | None:
    """Note that a flow was heard of; None when it is not known here."""
    flow = state.flows.get(event.nonce)
    if flow is not None:
        flow.last_seen_ms = event.now_ms
        state.flows.update_caller(flow, event.caller)
    return flow


def new_flow(event, target: str = '', incarnation: int = 0) -> Flow:
    """Return the flow that ``event`` asks for."""
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
    """Return the action that gives a caller its token."""
    return GrantFlow(
        caller=flow.caller,
        service=flow.service,
        flow_id=flow.flow_id,
        nonce=flow.nonce,
        target=flow.target,
        target_incarnation=flow.target_incarnation,
    )


def pop_due(deadlines: list, now_ms: int):
    """Yield the ids whose deadline has passed, in order."""
    while deadlines and deadlines[0][0] <= now_ms:
        yield heappop(deadlines)[1]
