"""Stream flows at their home: placement, pushes, resends and moves.

Any target of the service can continue a stream from a sequence number, so
a stream survives the loss of its home and of its target.  Before a planned
change its caller is asked to open the flow again, and the old flow serves
until then.
"""

from liftmount._internal.decisions.flows import FIRST_RESEND_WAIT_MS
from liftmount._internal.decisions.home import grant_flow
from liftmount._internal.decisions.home import HomeState
from liftmount._internal.decisions.home import new_flow
from liftmount._internal.decisions.home import refresh_flow
from liftmount._internal.decisions.home import refuse_flow
from liftmount._internal.decisions.home import regrant_flow
from liftmount._internal.models.actions import AskToRebind
from liftmount._internal.models.actions import AttachStream
from liftmount._internal.models.actions import CountRefusal
from liftmount._internal.models.actions import CountRetry
from liftmount._internal.models.actions import DetachStream
from liftmount._internal.models.actions import SendPush
from liftmount._internal.models.events import CloseArrived
from liftmount._internal.models.events import FlowAsked
from liftmount._internal.models.events import KeepaliveArrived
from liftmount._internal.models.events import PushArrived
from liftmount._internal.models.events import StreamLost
from liftmount._internal.models.reasons import Reason

# Wait after the first resend; it doubles with each further one.  A caller or
# a network that lags would else get all pushes again at each keepalive.
SECOND_RESEND_WAIT_MS = 1_000
# The keepalive that would have acknowledged a lost push may come earlier.
KEEPALIVE_JITTER_MS = 100
MAX_RESEND_WAIT_MS = 4_000


def decide(state: HomeState, event) -> list:
    """Return the actions for one event of a stream service."""
    match event:
        case PushArrived():
            return _handle_push(state, event)
        case KeepaliveArrived():
            return _handle_keepalive(state, event)
        case FlowAsked():
            return _handle_open(state, event)
        case StreamLost():
            return _handle_connection_loss(state, event)
        case CloseArrived():
            return _close_stream(state, event.nonce)
    raise TypeError(f'unknown event {event!r}')


def _handle_open(state, event):
    existing = regrant_flow(state, event)
    if existing is not None:
        return [existing]
    if state.flows.is_full():
        return refuse_flow(event, Reason.FLOW_LIMIT)
    pool = state.pool_state(event.service.pool_key).pool
    target = _find_kept_target(pool, event)
    if target is None:
        target = pool.choose_for_stream(event.now_ms)
    if target is None:
        return refuse_flow(event, Reason.NO_TARGET)
    flow = new_flow(event, target.name, target.incarnation)
    state.flows.add(flow)
    target.open_streams += 1
    return [grant_flow(flow), _attach(flow)]


def _find_kept_target(pool, event):
    """Return the stream's previous target, or None if it is unusable."""
    target = pool.targets.get(event.target)
    if target is None or target not in pool.usable(event.now_ms):
        return None
    if event.target_incarnation not in (0, target.incarnation):
        return None
    return target


def _attach(flow):
    return AttachStream(
        target=flow.target,
        nonce=flow.nonce,
        service=flow.service,
        name=flow.name,
        sequence=flow.acknowledged_sequence,
    )


def _handle_push(state, event):
    flow = state.flows.get(event.nonce)
    if flow is None:
        return [DetachStream(event.target, event.nonce)]
    if flow.target != event.target:
        return []
    if flow.pushed_sequence <= flow.acknowledged_sequence:
        flow.unacknowledged_ms = event.now_ms
    flow.pushed_sequence = max(flow.pushed_sequence, event.sequence)
    push = SendPush(
        caller=flow.caller,
        address=flow.service.address,
        flow_id=flow.flow_id,
        sequence=event.sequence,
        body=event.body,
    )
    return [push]


def _handle_keepalive(state, event):
    flow = refresh_flow(state, event)
    if flow is None:
        return [CountRefusal(Reason.FLOW_UNKNOWN)]
    reason = _reason_to_move(state, flow)
    actions = []
    if reason is not None:
        actions.append(_ask_to_rebind(flow, reason))
    return [*actions, *_acknowledge(flow, event)]


def _acknowledge(flow, event):
    """Return the actions that send lost pushes again."""
    if event.sequence > flow.acknowledged_sequence:
        _record_progress(flow, event)
    if flow.acknowledged_sequence >= flow.pushed_sequence:
        return []
    if event.now_ms - flow.unacknowledged_ms < flow.resend_wait_ms:
        return []
    flow.unacknowledged_ms = event.now_ms
    flow.has_resent = True
    flow.resend_wait_ms = min(
        MAX_RESEND_WAIT_MS,
        max(SECOND_RESEND_WAIT_MS, 2 * flow.resend_wait_ms),
    )
    return [CountRetry(Reason.RETRY_PUSH_LOST), _attach(flow)]


def _record_progress(flow, event):
    """Record an acknowledgement, and how long it took without a resend.

    After a resend nobody knows which of the pushes was acknowledged, so the
    longer wait stays (Karn and Partridge, SIGCOMM 1987).
    """
    if not flow.has_resent:
        waited_ms = event.now_ms - flow.unacknowledged_ms
        usual_ms = min(MAX_RESEND_WAIT_MS, waited_ms - KEEPALIVE_JITTER_MS)
        flow.resend_wait_ms = max(FIRST_RESEND_WAIT_MS, usual_ms)
    flow.has_resent = False
    flow.unacknowledged_ms = event.now_ms
    flow.acknowledged_sequence = event.sequence


def _reason_to_move(state, flow):
    if state.leaving:
        return Reason.BALANCER_LEAVING
    pool = state.pool_state(flow.service.pool_key).pool
    target = pool.targets.get(flow.target)
    if target is None:
        return Reason.TARGET_LOST
    if not flow.target_incarnation:
        # The flow was opened before the first contact with the target.
        flow.target_incarnation = target.incarnation
    if target.incarnation != flow.target_incarnation:
        return Reason.TARGET_REPLACED
    if target.leaving:
        return Reason.TARGET_LEAVING
    return None


def _ask_to_rebind(flow, reason):
    return AskToRebind(
        caller=flow.caller,
        address=flow.service.address,
        flow_id=flow.flow_id,
        reason=reason,
    )


def moves(state: HomeState) -> list:
    """Return the requests to rebind for all flows that must move."""
    actions = []
    for flow in state.flows.flows.values():
        if flow.service.mode == 'stream':
            reason = _reason_to_move(state, flow)
        else:
            reason = Reason.BALANCER_LEAVING if state.leaving else None
        if reason is not None:
            actions.append(_ask_to_rebind(flow, reason))
    return actions


def _handle_connection_loss(state, event):
    """Continue at another target, from what the caller acknowledged."""
    flow = state.flows.get(event.nonce)
    if flow is None or flow.target != event.target:
        return []
    pool = state.pool_state(flow.service.pool_key).pool
    _release_target(pool, flow)
    pool.failed(flow.target, event.now_ms)
    target = pool.choose_for_stream(event.now_ms, avoid=(flow.target,))
    if target is None:
        target = pool.choose_for_stream(event.now_ms)
    if target is None:
        state.flows.remove(flow.nonce)
        return [
            CountRefusal(Reason.NO_TARGET),
            _ask_to_rebind(flow, Reason.NO_TARGET),
        ]
    flow.target = target.name
    flow.target_incarnation = target.incarnation
    target.open_streams += 1
    retry = CountRetry(Reason.RETRY_CONNECTION_LOST)
    return [retry, grant_flow(flow), _attach(flow)]


def _release_target(pool, flow):
    target = pool.targets.get(flow.target)
    if target is None:
        return
    if flow.target_incarnation in (0, target.incarnation):
        target.open_streams = max(0, target.open_streams - 1)


def _close_stream(state, nonce):
    flow = state.flows.remove(nonce)
    if flow is None:
        return []
    _release_target(state.pool_state(flow.service.pool_key).pool, flow)
    return [DetachStream(flow.target, nonce)]


def expire(state: HomeState, now_ms: int) -> list:
    """Remove idle flows of both modes; return the resulting actions."""
    actions = []
    for flow in state.flows.find_idle(now_ms):
        if flow.service.mode == 'stream':
            actions += _close_stream(state, flow.nonce)
        else:
            state.flows.remove(flow.nonce)
    return actions
