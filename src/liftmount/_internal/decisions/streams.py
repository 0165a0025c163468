"""Stream flows at their home: placement, pushes, resends and moves.

Any target of the service can continue a stream from a sequence number, so
a stream survives the loss of its home and of its target.  Before a planned
change its caller is asked to open the flow again, and the old flow serves
until then.
"""

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

# A push not acknowledged by a keepalive this long after it was sent counts
# as lost; earlier keepalives may have crossed it on the way.
RESEND_AFTER_MS = 60


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
    flow.pushed_sequence = max(flow.pushed_sequence, event.sequence)
    flow.last_pushed_ms = event.now_ms
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
    flow.acknowledged_sequence = max(
        flow.acknowledged_sequence, event.sequence
    )
    reason = _reason_to_move(state, flow)
    actions = []
    if reason is not None:
        actions.append(_ask_to_rebind(flow, reason))
    lacks_push = flow.acknowledged_sequence < flow.pushed_sequence
    if lacks_push and event.now_ms - flow.last_pushed_ms >= RESEND_AFTER_MS:
        flow.last_pushed_ms = event.now_ms
        actions += [CountRetry(Reason.RETRY_PUSH_LOST), _attach(flow)]
    return actions


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
