"""Request flows at their home: deduplication, admission, dispatch, verdicts.

The home is the balancer process that opened a flow and sequences its
requests, see :mod:`home` beside this module.  Claiming a request's number
in the flow's window is the first step, so a copy that arrives later never
runs.  The verdict NOT_RUN is given only here: for a request that was never
written to a target, or that the target itself reported as not run.
"""

from heapq import heappush

from attrs import define

from liftmount._internal.decisions.home import grant_flow
from liftmount._internal.decisions.home import HomeState
from liftmount._internal.decisions.home import new_flow
from liftmount._internal.decisions.home import pop_due
from liftmount._internal.decisions.home import refresh_flow
from liftmount._internal.decisions.home import refuse_flow
from liftmount._internal.decisions.home import regrant_flow
from liftmount._internal.decisions.pool import Start
from liftmount._internal.decisions.window import Claim
from liftmount._internal.decisions.window import Window
from liftmount._internal.models.actions import AskToRebind
from liftmount._internal.models.actions import CountRefusal
from liftmount._internal.models.actions import CountRetry
from liftmount._internal.models.actions import Reply
from liftmount._internal.models.actions import SendCancel
from liftmount._internal.models.actions import SendRequest
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.configuration import Service
from liftmount._internal.models.events import CancelArrived
from liftmount._internal.models.events import CloseArrived
from liftmount._internal.models.events import FlowAsked
from liftmount._internal.models.events import KeepaliveArrived
from liftmount._internal.models.events import RequestArrived
from liftmount._internal.models.events import RequestLost
from liftmount._internal.models.events import TargetAnswered
from liftmount._internal.models.events import TargetRefused
from liftmount._internal.models.reasons import Reason
from liftmount._internal.models.records import Tick
from liftmount._internal.models.verdict import Outcome
from liftmount._internal.models.verdict import Verdict

MAX_ATTEMPTS = 4
MIN_RETRY_AFTER_MS = 500
MAX_RETRY_AFTER_MS = 30_000
# How long after its deadline an unanswered request keeps its slot.
SLOT_GRACE_MS = 10_000


@define(eq=False)
class PendingRequest:
    """A request that is queued or running on a target.

    ``finished`` means that the final answer was sent to the caller; the
    target may still be running the request.  ``may_have_run`` means that
    an earlier attempt was written to a target and its result is unknown.
    ``avoid`` names the targets of earlier attempts.
    """

    request_id: int
    nonce: int
    service: Service
    caller: Endpoint
    flow_id: bytes
    number: int
    deadline_at_ms: int
    arrived_ms: int
    body: bytes
    target: str = ''
    start: Start | None = None
    sent_ms: int = 0
    attempts: int = 0
    avoid: tuple = ()
    finished: bool = False
    may_have_run: bool = False


def decide(state: HomeState, event) -> list:
    """Return the actions for one event of a request service."""
    match event:
        case RequestArrived():
            return _handle_request(state, event)
        case TargetAnswered():
            return _handle_answer(state, event)
        case TargetRefused():
            return _handle_refusal(state, event)
        case RequestLost():
            return _handle_connection_loss(state, event)
        case CancelArrived():
            return _handle_cancel(state, event)
        case FlowAsked():
            return _handle_open(state, event)
        case KeepaliveArrived():
            return _handle_keepalive(state, event)
        case CloseArrived():
            state.flows.remove(event.nonce)
            return []
        case Tick():
            return _handle_tick(state, event.now_ms)
    raise TypeError(f'unknown event {event!r}')


def _handle_open(state, event):
    existing = regrant_flow(state, event)
    if existing is not None:
        return [existing]
    if state.flows.is_full():
        return refuse_flow(event, Reason.FLOW_LIMIT)
    flow = new_flow(event)
    state.flows.add(flow)
    return [grant_flow(flow)]


def _handle_keepalive(state, event):
    flow = refresh_flow(state, event)
    if flow is None:
        return [CountRefusal(Reason.FLOW_UNKNOWN)]
    # Callers probe the home with a keepalive before they send a request.
    return _rebind_if_leaving(state, flow) or [grant_flow(flow)]


def _rebind_if_leaving(state, flow):
    if not state.leaving:
        return []
    return [
        AskToRebind(
            caller=flow.caller,
            address=flow.service.address,
            flow_id=flow.flow_id,
            reason=Reason.BALANCER_LEAVING,
        )
    ]


def _handle_request(state, event):
    flow = refresh_flow(state, event)
    if flow is None:
        return [CountRefusal(Reason.FLOW_UNKNOWN)]
    if flow.window is None:
        flow.window = Window()
    claim = flow.window.claim(event.number)
    if claim is not Claim.NEW:
        return _handle_duplicate(state, flow, event.number, claim)
    request = _make_pending(state, flow, event)
    reason = _check_admission(state, request, event.now_ms)
    if reason is not None:
        return _refuse(state, request, reason, event.now_ms)
    actions = _rebind_if_leaving(state, flow)
    actions += _enqueue(state, request, event.now_ms)
    return actions + _dispatch(state, flow.service.pool_key, event.now_ms)


def _handle_duplicate(state, flow, number, claim):
    key = (flow.nonce, number)
    if key in state.by_number:
        return []
    outcome = state.answers.get(key)
    if outcome is None:
        reason = None
        if claim is Claim.TOO_OLD:
            reason = Reason.NUMBER_TOO_OLD
        outcome = Outcome(Verdict.MAY_HAVE_RUN, reason=reason)
    reply = Reply(
        caller=flow.caller,
        address=flow.service.address,
        flow_id=flow.flow_id,
        number=number,
        outcome=outcome,
    )
    return [reply]


def _make_pending(state, flow, event):
    limit_ms = flow.service.deadline_ms
    deadline_ms = min(event.deadline_ms or limit_ms, limit_ms)
    request = PendingRequest(
        request_id=state.next_request_id,
        nonce=flow.nonce,
        service=flow.service,
        caller=flow.caller,
        flow_id=flow.flow_id,
        number=event.number,
        deadline_at_ms=event.now_ms + deadline_ms,
        arrived_ms=event.now_ms,
        body=event.body,
    )
    state.next_request_id += 1
    return request


def _check_admission(state, request, now_ms):
    """Return the reason to reject a request, or None to admit it."""
    pool_state = state.pool_state(request.service.pool_key)
    pool = pool_state.pool
    if not pool.usable(now_ms):
        return Reason.NO_TARGET
    ahead = pool_state.queue.ahead(request.service.priority)
    expected_ms = pool.latency_ms(request.service.name)
    if ahead:
        expected_ms += pool.wait_ms(ahead, now_ms)
    if now_ms + expected_ms > request.deadline_at_ms:
        return Reason.DEADLINE_CANNOT_BE_MET
    return None


def _enqueue(state, request, now_ms):
    pool_state = state.pool_state(request.service.pool_key)
    queue = pool_state.queue
    priority = request.service.priority
    actions = []
    if queue.waiting(priority) >= max(1, request.service.max_queue):
        return _refuse(state, request, Reason.QUEUE_FULL, now_ms)
    if len(queue) >= _get_pool_queue_limit(request.service):
        displaced = queue.displace(priority)
        if displaced is None:
            return _refuse(state, request, Reason.QUEUE_FULL, now_ms)
        reason = Reason.DISPLACED_BY_URGENT
        actions = _refuse(state, displaced, reason, now_ms)
    pool_state.retry_budget.earn()
    state.pending[request.request_id] = request
    state.by_number[request.nonce, request.number] = request.request_id
    heappush(state.deadlines, (request.deadline_at_ms, request.request_id))
    queue.push(priority, request)
    return actions


def _get_pool_queue_limit(service):
    # For all priority classes of a pool together.
    return 2 * max(1, service.max_queue)


def _dispatch(state, pool_key, now_ms):
    pool_state = state.pool_state(pool_key)
    actions = []
    while len(pool_state.queue):
        target = pool_state.pool.choose(now_ms)
        if target is None:
            break
        request = pool_state.queue.pop()
        if request.avoid:
            # Prefer a target that has not been tried for this request.
            other = pool_state.pool.choose(now_ms, request.avoid)
            target = other or target
        actions.append(_send(pool_state.pool, request, target, now_ms))
    return actions


def _send(pool, request, target, now_ms):
    request.target = target.name
    request.start = pool.started(target.name, now_ms)
    request.sent_ms = now_ms
    request.attempts += 1
    return SendRequest(
        target=target.name,
        request_id=request.request_id,
        service=request.service,
        body=request.body,
        deadline_ms=max(1, request.deadline_at_ms - now_ms),
    )


def _finish(state, request, outcome, now_ms):
    """Record the final answer and return the reply that carries it."""
    key = (request.nonce, request.number)
    request.finished = True
    request.body = b''
    state.by_number.pop(key, None)
    state.answers.put(key, outcome, now_ms)
    return Reply(
        caller=request.caller,
        address=request.service.address,
        flow_id=request.flow_id,
        number=request.number,
        outcome=outcome,
    )


def _refuse(state, request, reason, now_ms):
    """Reject a request that no target holds now.

    The verdict is NOT_RUN unless an earlier attempt may have run.
    """
    state.pending.pop(request.request_id, None)
    verdict = Verdict.NOT_RUN
    if request.may_have_run:
        verdict = Verdict.MAY_HAVE_RUN
    outcome = Outcome(
        verdict,
        reason=reason,
        retry_after_ms=_estimate_retry_after_ms(
            state, request.service, now_ms
        ),
    )
    reply = _finish(state, request, outcome, now_ms)
    return [CountRefusal(reason), reply]


def _estimate_retry_after_ms(state, service, now_ms):
    pool_state = state.pool_state(service.pool_key)
    ahead = pool_state.queue.ahead(service.priority)
    wait_ms = pool_state.pool.wait_ms(ahead, now_ms)
    return int(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms)))


def _handle_answer(state, event):
    request = state.pending.pop(event.request_id, None)
    if request is None:
        return []
    service = request.service
    pool = state.pool_state(service.pool_key).pool
    target = pool.finished(request.target, event.now_ms)
    pool.succeeded(request.target)
    if target is not None:
        latency_ms = event.now_ms - request.sent_ms
        start = request.start
        target.capacity.completed(
            service=service.name,
            level=start.level,
            ended_before=target.ended - 1 - start.ended,
            latency_ms=latency_ms,
            now_ms=event.now_ms,
        )
    actions = []
    if not request.finished:
        outcome = Outcome(Verdict.RAN, event.body)
        actions = [_finish(state, request, outcome, event.now_ms)]
    return actions + _dispatch(state, service.pool_key, event.now_ms)


def _handle_refusal(state, event):
    request = state.pending.get(event.request_id)
    if request is None:
        return []
    now_ms = event.now_ms
    pool_state = state.pool_state(request.service.pool_key)
    target = pool_state.pool.finished(request.target, now_ms)
    if target is not None and not event.cancelled:
        target.capacity.shed(request.start.level, now_ms)
    actions = _retry_or_refuse(state, pool_state, request, event)
    return actions + _dispatch(state, request.service.pool_key, now_ms)


def _retry_or_refuse(state, pool_state, request, event):
    now_ms = event.now_ms
    if request.finished:
        del state.pending[request.request_id]
        return []
    if event.cancelled:
        return _refuse(state, request, Reason.CANCELLED, now_ms)
    if _may_retry(pool_state, request, now_ms):
        request.avoid += (request.target,)
        return _requeue(pool_state, request, Reason.RETRY_SHED)
    return _refuse(state, request, Reason.TARGET_SHED, now_ms)


def _may_retry(pool_state, request, now_ms):
    if request.attempts >= MAX_ATTEMPTS:
        return False
    if now_ms >= request.deadline_at_ms:
        return False
    return pool_state.retry_budget.spend()


def _requeue(pool_state, request, reason):
    request.target = ''
    pool_state.queue.push(request.service.priority, request, front=True)
    return [CountRetry(reason)]


def _handle_connection_loss(state, event):
    request = state.pending.get(event.request_id)
    if request is None:
        return []
    now_ms = event.now_ms
    pool_state = state.pool_state(request.service.pool_key)
    pool_state.pool.finished(request.target, now_ms)
    pool_state.pool.failed(request.target, now_ms)
    if request.finished:
        del state.pending[request.request_id]
        actions = []
    elif not event.written or request.service.repeatable:
        actions = _retry_or_fail(state, pool_state, request, event)
    else:
        actions = _answer_may_have_run(
            state, request, Reason.TARGET_LOST, now_ms
        )
        state.pending.pop(request.request_id, None)
    return actions + _dispatch(state, request.service.pool_key, now_ms)


def _retry_or_fail(state, pool_state, request, event):
    reason = Reason.RETRY_NOT_WRITTEN
    if event.written:
        request.may_have_run = True
        reason = Reason.RETRY_CONNECTION_LOST
    if _may_retry(pool_state, request, event.now_ms):
        request.avoid += (request.target,)
        return _requeue(pool_state, request, reason)
    spent = CountRetry(Reason.RETRY_BUDGET_SPENT)
    refusal = Reason.TARGET_LOST if event.written else Reason.NO_TARGET
    return [spent, *_refuse(state, request, refusal, event.now_ms)]


def _answer_may_have_run(state, request, reason, now_ms):
    outcome = Outcome(Verdict.MAY_HAVE_RUN, reason=reason)
    reply = _finish(state, request, outcome, now_ms)
    return [CountRefusal(reason), reply]


def _handle_cancel(state, event):
    flow = state.flows.get(event.nonce)
    if flow is None:
        return []
    if flow.window is None:
        flow.window = Window()
    request_id = state.by_number.get((event.nonce, event.number))
    if request_id is None:
        return _cancel_before_arrival(state, flow, event)
    request = state.pending[request_id]
    if request.target:
        return [SendCancel(request.target, request_id)]
    queue = state.pool_state(request.service.pool_key).queue
    queue.remove(request.service.priority, request)
    return _refuse(state, request, Reason.CANCELLED, event.now_ms)


def _cancel_before_arrival(state, flow, event):
    """Claim the number of a request that has not arrived yet."""
    if flow.window.claim(event.number) is not Claim.NEW:
        return []
    arrival = RequestArrived(
        event.nonce, flow.caller, event.number, 0, b'', event.now_ms
    )
    request = _make_pending(state, flow, arrival)
    return _refuse(state, request, Reason.CANCELLED, event.now_ms)


def _handle_tick(state, now_ms):
    actions = []
    for request_id in pop_due(state.deadlines, now_ms):
        request = state.pending.get(request_id)
        if request is not None:
            actions += _handle_deadline(state, request, now_ms)
    state.answers.expire(now_ms)
    for key in list(state.pools):
        actions += _dispatch(state, key, now_ms)
    return actions


def _handle_deadline(state, request, now_ms):
    pool_state = state.pool_state(request.service.pool_key)
    if not request.target:
        pool_state.queue.remove(request.service.priority, request)
        return _refuse(state, request, Reason.DEADLINE_PASSED, now_ms)
    if request.finished:
        # The target did not answer within the grace period either.
        del state.pending[request.request_id]
        pool_state.pool.finished(request.target, now_ms)
        return []
    pool_state.pool.failed(request.target, now_ms)
    release_at_ms = now_ms + SLOT_GRACE_MS
    heappush(state.deadlines, (release_at_ms, request.request_id))
    cancel = SendCancel(request.target, request.request_id)
    refusal = _answer_may_have_run(
        state, request, Reason.DEADLINE_PASSED, now_ms
    )
    return [cancel, *refusal]
