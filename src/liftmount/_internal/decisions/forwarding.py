"""Forwarding of segments to targets.

The balancer sees only what clients send; targets answer clients directly.
Every segment of a flow must reach the target at which the flow opened,
whichever balancer receives it. The tag on a segment therefore names its
target, and the flow table is only a cache: it balances load, pins a flow
whose opening was sent to two targets, and yields evidence on target health.
"""

from liftmount._internal.decisions.flow_evidence import note_progress
from liftmount._internal.decisions.flow_table import close_flow
from liftmount._internal.decisions.flow_table import end_flow
from liftmount._internal.decisions.flow_table import Flow
from liftmount._internal.decisions.flow_table import ForwardingState
from liftmount._internal.decisions.flow_table import load_of
from liftmount._internal.decisions.flow_table import may_open
from liftmount._internal.decisions.flow_table import move_flow
from liftmount._internal.decisions.flow_table import note_work
from liftmount._internal.decisions.flow_table import Phase
from liftmount._internal.decisions.flow_targets import find_by_tag
from liftmount._internal.decisions.flow_targets import note_contested
from liftmount._internal.decisions.flow_targets import note_other_tag
from liftmount._internal.decisions.flow_targets import resolve
from liftmount._internal.decisions.flow_targets import Source
from liftmount._internal.decisions.pool import flow_cost
from liftmount._internal.decisions.pool import TargetInfo
from liftmount._internal.decisions.route_absence import Absence
from liftmount._internal.decisions.target_health import EvidenceKind
from liftmount._internal.decisions.target_health import TargetResponsive
from liftmount._internal.decisions.target_health import TargetUnresponsive
from liftmount._internal.models.flow_messages import Adopted
from liftmount._internal.models.flow_messages import Answered
from liftmount._internal.models.flow_messages import DomainsEvacuated
from liftmount._internal.models.flow_messages import Drop
from liftmount._internal.models.flow_messages import FlowPin
from liftmount._internal.models.flow_messages import Forward
from liftmount._internal.models.flow_messages import PinNeeded
from liftmount._internal.models.flow_messages import PinsHandedOver
from liftmount._internal.models.flow_messages import PinsReceived
from liftmount._internal.models.flow_messages import Placed
from liftmount._internal.models.flow_messages import RefusalReason
from liftmount._internal.models.flow_messages import Refuse
from liftmount._internal.models.flow_messages import RetiredTarget
from liftmount._internal.models.flow_messages import RoutesChanged
from liftmount._internal.models.flow_messages import RoutesConfirmed
from liftmount._internal.models.flow_messages import RoutesNeeded
from liftmount._internal.models.flow_messages import SegmentArrived
from liftmount._internal.models.flow_messages import SharePins
from liftmount._internal.models.flow_messages import TargetEjected
from liftmount._internal.models.flow_messages import TargetHealthChanged
from liftmount._internal.models.flow_messages import TargetPut
from liftmount._internal.models.flow_messages import TargetRemoved
from liftmount._internal.models.flow_messages import TargetRestarted
from liftmount._internal.models.flow_messages import TargetsNeeded
from liftmount._internal.models.flow_messages import TargetsSettled
from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message
from liftmount._internal.models.records import Tick
from liftmount._internal.models.segments import Segment

# A request without progress for this long no longer counts as load.
STALE_REQUEST_MS = 2_000
# An opening that no segment followed for this long is also sent to another
# target. Covers the round trip over target and client on a slow balancer.
OPENING_TIMEOUT_MS = 70
# A target that left an opening unanswered gets no new flows for this long.
AVOID_MS = 1_000
MAX_TRIED_TARGETS = 4
# Clients send the first copy of an opening after this time.
FIRST_COPY_MS = 200
# Segments that arrived before their target or route was known. Clients
# retransmit after 200 ms.
MAX_PENDING = 512
PENDING_TIMEOUT_MS = 400
# A closed flow is kept this long for its last segments.
CLOSED_RETENTION_MS = 2_000
SWEEP_INTERVAL_MS = 1_000
# Pins that a balancer tells at its planned stop, own ones first.
MAX_HANDED_OVER = 1_024
# After a longer gap between ticks this balancer was delayed itself, so
# missing answers are no evidence against targets.
# Ticks come every 20 ms (TICK_MS of packet_path).
MAX_TICK_GAP_MS = 120


def decide(state: ForwardingState, event) -> list:
    """Return the actions for an event.

    Evidence on targets is returned as TargetUnresponsive and
    TargetResponsive, which ``target_health`` evaluates. Raises TypeError
    for an unknown event.
    """
    match event:
        case SegmentArrived():
            return _handle_segment(state, event.segment, event.now_ms)
        case Tick():
            return _tick(state, event.now_ms)
    return _decide_on_update(state, event)


def _decide_on_update(state, event):
    """Return the actions for a change of targets, routes or pins."""
    match event:
        case TargetPut():
            return _put_target(state, event)
        case TargetRemoved():
            return _retire_target(state, event)
        case RetiredTarget():
            return _add_retired(state, event)
        case TargetsSettled():
            state.has_targets = bool(state.tags.entries)
            return _retry_pending(state, event.now_ms)
        case TargetHealthChanged():
            return _update_health(state, event)
        case TargetEjected():
            return _eject(state, event)
        case RoutesChanged():
            return _update_routes(state, event)
        case RoutesConfirmed():
            return _confirm_routes(state, event)
        case DomainsEvacuated():
            return _evacuate(state, event)
        case PinsReceived():
            return _receive_pins(state, event)
        case PinsHandedOver():
            return _hand_over_pins(state)
    raise TypeError(f'unknown event {event!r}')


def _handle_segment(state, segment, now_ms):
    if state.table is None:
        return _enqueue(state, segment, now_ms)
    route = state.table.routes.get(segment.address)
    flow = state.flows.get(segment.flow)
    if route is None:
        return _handle_unrouted(state, segment, flow, now_ms)
    if segment.opens:
        if state.evacuated is None:
            return _enqueue(state, segment, now_ms)
        return _handle_opening(state, segment, route, flow, now_ms)
    return _handle_routed(state, segment, route, flow, now_ms)


def _handle_routed(state, segment, route, flow, now_ms):
    """Handle a segment after the opening, by its flow or else by its tag."""
    if flow is None:
        return _adopt_flow(state, segment, route, now_ms)
    if flow.phase is Phase.OPENING and _may_be_elsewhere(state, flow, now_ms):
        found = resolve(state, segment, route, now_ms)
        if found.source is Source.ASKING:
            return [*_enqueue(state, segment, now_ms), *found.actions]
    elif flow.phase is Phase.OPEN and not flow.is_proven:
        held = _prove_target(state, segment, flow, now_ms)
        if held is not None:
            return held
    return _forward_on_flow(state, segment, flow, now_ms)


def _may_be_elsewhere(state, flow, now_ms):
    """Return whether a copy of an opening may have opened a flow elsewhere."""
    return state.pins is not None and now_ms - flow.opened_ms >= FIRST_COPY_MS


def _handle_unrouted(state, segment, flow, now_ms):
    """Handle a segment whose address has no route in the table."""
    if segment.opens:
        return _handle_unrouted_opening(state, segment, flow, now_ms)
    absence = state.absence
    if flow is not None:
        first_ms = flow.opened_ms
    else:
        first_ms = absence.note_waiting(segment.flow, now_ms)
    match absence.judge(first_ms, now_ms):
        case Absence.PROVEN:
            return _refuse_dropped(state, segment, flow, now_ms)
        case Absence.UNPROVEN if flow is None:
            return _wait_for_route(state, segment, now_ms)
    return _handle_routed(state, segment, None, flow, now_ms)


def _handle_unrouted_opening(state, segment, flow, now_ms):
    if flow is not None and flow.phase is Phase.OPEN:
        # A delayed duplicate: a reset would end the open flow.
        return []
    if not state.absence.is_fresh(now_ms):
        return _wait_for_route(state, segment, now_ms)
    if flow is not None:
        end_flow(state, flow, now_ms)
    return [_make_refuse(segment, RefusalReason.NO_ROUTE)]


def _wait_for_route(state, segment, now_ms):
    needed = RoutesNeeded(segment.flow, segment.client, segment.address)
    return [*_enqueue(state, segment, now_ms), needed]


def _refuse_dropped(state, segment, flow, now_ms):
    state.absence.waiting.pop(segment.flow, None)
    if flow is not None:
        end_flow(state, flow, now_ms)
    if segment.resets:
        return []
    return [_make_refuse(segment, RefusalReason.ROUTE_DROPPED)]


def _make_refuse(segment, reason, target=''):
    return Refuse(
        flow=segment.flow,
        client=segment.client,
        address=segment.address,
        sequence=segment.acknowledgement,
        reason=reason,
        target=target,
    )


def _make_drop(segment, reason):
    return Drop(
        segment.flow, segment.client, segment.address, segment.tag, reason
    )


def _add_flow(state, segment, route, phase, now_ms):
    """Add a flow to the flow table."""
    flow = Flow(
        key=segment.flow,
        route=route,
        client=segment.client,
        address=segment.address,
        phase=phase,
        opened_ms=now_ms,
        seen_ms=now_ms,
    )
    state.flows[segment.flow] = flow
    return flow


# Openings.


def _handle_opening(state, segment, route, flow, now_ms):
    if flow is not None and flow.phase is Phase.OPEN:
        entry = state.tags.entries.get(flow.target)
        # A delayed duplicate: only the target that holds the flow may answer.
        return [Forward(segment, entry, flow.tag)] if entry else []
    is_opening = flow is not None and flow.phase is Phase.OPENING
    if is_opening and now_ms - flow.tried_ms < OPENING_TIMEOUT_MS:
        # The answer may be in flight; duplicates arrive together after a
        # stall.
        return []
    if not is_opening:
        flow = _add_flow(state, segment, route, Phase.OPENING, now_ms)
        flow.opening = segment
        flow.is_copy = segment.acknowledgement > 0
        if state.pins is not None:
            state.pins.remove(flow.key)
    flow.seen_ms = now_ms
    return _place_flow(state, segment, flow, now_ms)


def _place_flow(state, segment, flow, now_ms):
    """Send an opening to a target that has not been tried for it."""
    service = flow.route.shares[0].service
    if len(flow.route.shares) > 1:
        service = _choose_service(state, flow.route)
    pool = state.pool(service)
    chosen = pool.choose_for_flow(
        now_ms, flow.tried, state.domains_for(flow.route)
    )
    if chosen is None:
        return _handle_unplaceable(state, segment, flow, now_ms)
    entry = state.tags.entries[chosen.name]
    load = flow_cost(chosen, now_ms)
    pool.note_opening(chosen, now_ms)
    move_flow(state, flow, chosen.name, now_ms)
    note_work(state, flow, True, now_ms)
    flow.tag = state.tags.opening_tag(chosen.name)
    flow.tried = (*flow.tried, chosen.name)
    flow.tried_ms = now_ms
    state.opening.append(flow)
    return [
        Placed(segment, flow.route, entry, len(flow.tried), load),
        Forward(segment, entry, flow.tag),
    ]


def _choose_service(state, route):
    """Return a service of a route by weighted round robin."""
    total = sum(share.weight for share in route.shares)
    state.turn += 1
    # Multiples of the golden ratio, modulo 1, are evenly distributed.
    point = (state.turn * 0.6180339887498949) % 1.0 * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


def _handle_unplaceable(state, segment, flow, now_ms):
    """Handle an opening that no other target can take."""
    if not state.has_targets or _may_lack_targets(state, flow):
        return _enqueue(state, segment, now_ms)
    if may_open(state, flow.target, now_ms):
        return _resend_opening(state, segment, flow, now_ms)
    if flow.tried and segment is flow.opening:
        # The client has not retransmitted: an answer may be in flight.
        return []
    end_flow(state, flow, now_ms)
    return [_make_refuse(segment, RefusalReason.NO_TARGET)]


def _may_lack_targets(state, flow):
    """Return whether a list that may lag has no target for a route."""
    if state.are_targets_confirmed:
        return False
    shares = flow.route.shares
    return not any(state.pool(share.service).targets for share in shares)


def _resend_opening(state, segment, flow, now_ms):
    """Send an opening again to the target that received it last."""
    entry = state.tags.entries[flow.target]
    load = load_of(state, flow.target)
    state.pool(entry.service).note_opening(load, now_ms)
    flow.tried_ms = now_ms
    return [Forward(segment, entry, flow.tag)]


# Segments after the opening.


def _adopt_flow(state, segment, route, now_ms):
    """Add a flow that another balancer has forwarded so far."""
    found = resolve(state, segment, route, now_ms)
    if found.source is Source.UNKNOWN:
        return _handle_unknown_tag(state, segment, now_ms)
    if found.source is Source.ASKING:
        return [*_enqueue(state, segment, now_ms), *found.actions]
    flow = _add_flow(state, segment, route, Phase.OPEN, now_ms)
    # Not proven, it keeps the tag of openings, which others don't trust.
    flow.tag = segment.tag
    flow.sent = segment.sequence
    flow.acknowledged = segment.acknowledgement
    move_flow(state, flow, found.entry.name, now_ms)
    if route is None:
        # Its first segment may have waited for the targets.
        flow.opened_ms = state.absence.waiting.pop(flow.key, now_ms)
        state.absence.is_following = True
    actions = []
    if found.is_proven:
        actions = _mark_proven(state, flow, found.source)
    actions += _forward_on_flow(state, segment, flow, now_ms)
    return [*actions, *_report_adopted(state, segment, flow, found.source)]


def _report_adopted(state, segment, flow, source):
    if flow.key not in state.flows:
        return []
    return [
        Adopted(
            flow.key,
            flow.client,
            flow.address,
            flow.target,
            segment.tag,
            source.value,
            has_route=flow.route is not None,
        )
    ]


def _mark_proven(state, flow, source):
    """Use the confirmed tag of a flow's target from now on."""
    flow.is_proven = True
    flow.tag = state.tags.confirmed_tag(flow.target)
    if source is Source.CONFIRMED_TAG:
        return []
    return note_contested(state, flow)


def _prove_target(state, segment, flow, now_ms):
    """Find out which target holds a flow that is not proven to be at one.

    Returns None if that brings nothing new, else the actions for the segment.
    """
    found = resolve(state, segment, flow.route, now_ms)
    if found.source is Source.ASKING:
        return [*_enqueue(state, segment, now_ms), *found.actions]
    if not found.is_proven:
        return None
    if found.entry.name != flow.target:
        move_flow(state, flow, found.entry.name, now_ms)
    actions = _mark_proven(state, flow, found.source)
    actions += _forward_on_flow(state, segment, flow, now_ms)
    return [*actions, *_report_adopted(state, segment, flow, found.source)]


def _handle_unknown_tag(state, segment, now_ms):
    if segment.resets or not segment.tag:
        return [_make_drop(segment, RefusalReason.UNKNOWN_TAG)]
    actions = _enqueue(state, segment, now_ms)
    return [*actions, TargetsNeeded(segment)]


def _forward_on_flow(state, segment, flow, now_ms):
    actions = []
    if flow.phase is Phase.OPENING and segment.tag:
        actions += _confirm_target(state, segment, flow, now_ms)
    entry = state.tags.entries.get(flow.target)
    if entry is None:
        end_flow(state, flow, now_ms)
        return [*actions, _make_refuse(segment, RefusalReason.TARGET_GONE)]
    if segment.tag != flow.tag and not flow.has_other_tag:
        actions += note_other_tag(state, segment, flow)
    actions += _note_progress(state, segment, flow, now_ms)
    flow.seen_ms = now_ms
    if segment.resets or segment.closes:
        close_flow(state, flow, now_ms)
    elif state.health.is_proven_dead(flow.target, now_ms):
        end_flow(state, flow, now_ms)
        reason = RefusalReason.TARGET_DEAD
        return [*actions, _make_refuse(segment, reason, flow.target)]
    elif state.health.is_dead(flow.target):
        # The proof has expired: probe again, since it may have recovered.
        actions.append(
            TargetUnresponsive(
                flow.target, now_ms, EvidenceKind.RETURN, flow.key
            )
        )
    actions.append(Forward(segment, entry, flow.tag))
    return actions


def _note_progress(state, segment, flow, now_ms):
    """Update a flow; an answer to its request proves its target."""
    was_working = flow.is_working
    is_answer = segment.acknowledgement != flow.acknowledged
    actions = note_progress(state, segment, flow, now_ms)
    if was_working and is_answer and not flow.is_proven:
        actions += _mark_proven(state, flow, Source.PROGRESS)
    return actions


def _confirm_target(state, segment, flow, now_ms):
    """Pin a flow to the target whose answer its client accepted."""
    flow.phase = Phase.OPEN
    flow.opening = None
    flow.sent = segment.sequence
    flow.acknowledged = segment.acknowledgement
    named = _find_opened_at(state, segment, flow, now_ms)
    is_contested = len(flow.tried) > 1 or flow.is_copy
    if named is not None and named.name != flow.target:
        move_flow(state, flow, named.name, now_ms)
        is_contested = True
    if named is not None:
        flow.is_proven = True
        flow.tag = state.tags.confirmed_tag(flow.target)
    contested = note_contested(state, flow) if is_contested else []
    responsive = TargetResponsive(flow.target, now_ms)
    if flow.route is None:
        return [*contested, responsive]
    return [
        *contested,
        Answered(
            flow.target,
            flow.route,
            now_ms - flow.opened_ms,
            len(flow.tried),
        ),
        responsive,
    ]


def _find_opened_at(state, segment, flow, now_ms):
    """Return the target at which an opening's flow opened, if known."""
    pinned = ''
    if state.pins is not None:
        pinned = state.pins.find(flow.key, now_ms)
    if pinned in state.tags.entries:
        return state.tags.entries[pinned]
    return find_by_tag(state, segment, flow.route)


# Segments that wait for routes or targets.


@message
class _PendingSegment(Message):
    segment: Segment
    until_ms: int


def _enqueue(state, segment, now_ms):
    actions = []
    if len(state.pending) >= MAX_PENDING:
        oldest = state.pending.popleft()
        actions.append(_make_drop(oldest.segment, RefusalReason.HELD_TOO_LONG))
    state.pending.append(_PendingSegment(segment, now_ms + PENDING_TIMEOUT_MS))
    return actions


def _retry_pending(state, now_ms):
    """Handle pending segments again.

    Those whose target or route is still unknown keep their deadline.
    """
    waiting = list(state.pending)
    state.pending.clear()
    actions = []
    for pending in waiting:
        before = len(state.pending)
        actions += _handle_segment(state, pending.segment, now_ms)
        if len(state.pending) > before:
            state.pending[-1] = pending
        flow = state.flows.get(pending.segment.flow)
        if flow is not None:
            # The client may have given up, so a missing answer is no
            # evidence against the target.
            flow.opening = None
    needs = (TargetsNeeded, RoutesNeeded, PinNeeded)
    return [action for action in actions if not isinstance(action, needs)]


# What other members say about flows.


def _receive_pins(state, event):
    pins = state.pins
    for pin in event.pins:
        if pin.target:
            pins.put(pin.flow, pin.target, event.now_ms)
        else:
            pins.deny(pin.flow)
    pins.end_questions(event.now_ms)
    return _retry_pending(state, event.now_ms)


def _hand_over_pins(state):
    if state.pins is None:
        return []
    own = [
        FlowPin(flow.key, flow.target)
        for flow in state.flows.values()
        if flow.is_contested and flow.phase is Phase.OPEN
    ]
    known = {pin.flow for pin in own}
    kept = [
        FlowPin(flow, pin.target)
        for flow, pin in state.pins.pins.items()
        if flow not in known
    ]
    pins = (*own, *kept)[:MAX_HANDED_OVER]
    return [SharePins(pins, is_last=True)] if pins else []


# Changes of routes and targets.


def _update_routes(state, event):
    before = state.table
    if before is not None and event.table.version <= before.version:
        return []
    state.use_table(event.table)
    routes = event.table.routes
    for flow in state.flows.values():
        flow.route = routes.get(flow.address)
        if flow.route is None:
            state.absence.is_following = True
    actions = _end_unrouted(state, event.now_ms)
    return actions + _retry_pending(state, event.now_ms)


def _end_unrouted(state, now_ms):
    """End the flows whose route is proven to be gone."""
    absence = state.absence
    if not absence.is_following:
        return []
    absence.is_following = False
    actions = []
    for flow in list(state.flows.values()):
        if flow.route is not None:
            continue
        if absence.judge(flow.opened_ms, now_ms) is Absence.PROVEN:
            end_flow(state, flow, now_ms)
            actions.append(_refuse_flow(flow, RefusalReason.ROUTE_DROPPED))
        else:
            absence.is_following = True
    return actions


def _confirm_routes(state, event):
    if state.table is None or event.version > state.table.version:
        return []
    absence = state.absence
    was_fresh = absence.is_fresh(event.now_ms)
    absence.confirm(event.as_of_ms)
    actions = _end_unrouted(state, event.now_ms)
    if absence.waiting or was_fresh != absence.is_fresh(event.now_ms):
        actions += _retry_pending(state, event.now_ms)
    return actions


def _evacuate(state, event):
    """Place no new flows in evacuated domains; open flows continue."""
    state.evacuated = event.domains
    state.slots.clear()
    for pool in state.pools.values():
        pool.close_domains(event.domains, event.now_ms)
    return _retry_pending(state, event.now_ms)


def _refuse_flow(flow, reason):
    return Refuse(
        flow=flow.key,
        client=flow.client,
        address=flow.address,
        sequence=flow.acknowledged,
        reason=reason,
        target=flow.target,
    )


def _put_target(state, event):
    entry = event.entry
    before = state.tags.entries.get(entry.name)
    state.tags.add(entry)
    actions = []
    if before is not None and entry.is_other_start(before):
        actions = _handle_restart(state, entry, event.now_ms)
    state.retired.pop(entry.name, None)
    state.slots.pop(entry.service, None)
    state.pool(entry.service).put(_target_info(state, event), event.now_ms)
    return actions


def _handle_restart(state, entry, now_ms):
    """End the flows of a target that restarted under the same name.

    The target resets segments of flows that it doesn't hold. To make it
    reset the clients that wait for an answer, the last segment of each
    request in progress is sent to it again. Flows opened since the restart
    are not affected.
    """
    state.health.forget(entry.name)
    state.pool(entry.service).remove(entry.name)
    actions = []
    ended = 0
    for flow in list(state.flows.values()):
        if flow.target != entry.name or flow.phase is not Phase.OPEN:
            continue
        if flow.request is not None:
            actions.append(Forward(flow.request, entry, flow.tag))
        end_flow(state, flow, now_ms)
        ended += 1
    return [TargetRestarted(entry, ended, len(actions)), *actions]


def _target_info(state, event):
    entry = event.entry
    is_avoided = state.health.is_avoided(entry.name)
    return TargetInfo(
        name=entry.name,
        failure_domain=entry.failure_domain,
        leaving=entry.draining,
        slots=entry.slots,
        warm_up_ms=entry.warm_up_ms,
        last_choice=event.is_missing or is_avoided,
    )


def _retire_target(state, event):
    entry = state.tags.entries.get(event.name)
    if entry is None:
        return []
    state.slots.pop(entry.service, None)
    state.pool(entry.service).remove(event.name)
    state.retired[event.name] = event.now_ms + state.flow_max_age_ms
    return []


def _add_retired(state, event):
    """Add the tags of a target that ended before this balancer started."""
    name = event.entry.name
    if name not in state.tags.entries:
        state.tags.add(event.entry)
        state.retired[name] = event.until_ms
    return []


def _update_health(state, event):
    entry = state.tags.entries.get(event.name)
    if entry is None:
        return []
    state.slots.pop(entry.service, None)
    is_avoided = event.is_dead or event.is_suspected
    state.pool(entry.service).set_last_choice(event.name, is_avoided)
    if not event.is_dead:
        return []
    actions = []
    for flow in list(state.flows.values()):
        if flow.target != event.name or flow.phase is not Phase.OPEN:
            continue
        end_flow(state, flow, event.now_ms)
        actions.append(_refuse_flow(flow, RefusalReason.TARGET_DEAD))
    return actions


# Timers.


def _tick(state, now_ms):
    actions = []
    gap_ms = now_ms - state.ticked_ms
    state.ticked_ms = now_ms
    if gap_ms > MAX_TICK_GAP_MS:
        for flow in state.opening:
            flow.tried_ms = max(flow.tried_ms, now_ms)
    while state.opening:
        flow = state.opening[0]
        if now_ms - flow.tried_ms < OPENING_TIMEOUT_MS:
            break
        state.opening.popleft()
        actions += _handle_unanswered(state, flow, now_ms)
    if state.pins is not None and state.pins.end_questions(now_ms):
        actions += _retry_pending(state, now_ms)
    if state.stalls is not None:
        actions += _find_stalls(state, gap_ms, now_ms)
    while state.pending and now_ms >= state.pending[0].until_ms:
        pending = state.pending.popleft()
        actions.append(_give_up(state, pending.segment))
    if now_ms >= state.next_sweep_ms:
        state.next_sweep_ms = now_ms + SWEEP_INTERVAL_MS
        _sweep(state, now_ms)
    return actions


def _give_up(state, segment):
    """Return what ends the wait of a segment; a reset makes clients retry."""
    table = state.table
    is_routed = table is None or segment.address in table.routes
    if segment.opens and not is_routed:
        return _make_refuse(segment, RefusalReason.NO_ROUTE)
    return _make_drop(segment, RefusalReason.HELD_TOO_LONG)


def _handle_unanswered(state, flow, now_ms):
    """Report the tried targets as unresponsive and try another one."""
    is_waiting = flow.phase is Phase.OPENING and flow.opening is not None
    if (
        not is_waiting
        or flow.route is None
        or state.flows.get(flow.key) is not flow
    ):
        return []
    actions = []
    for name in flow.tried:
        entry = state.tags.entries.get(name)
        if entry is not None:
            pool = state.pool(entry.service)
            pool.avoid(name, now_ms + AVOID_MS)
        for_ms = now_ms - flow.opened_ms
        evidence = TargetUnresponsive(
            name, now_ms, EvidenceKind.OPENING, flow.key, for_ms
        )
        actions.append(evidence)
    if len(flow.tried) < MAX_TRIED_TARGETS:
        actions += _place_flow(state, flow.opening, flow, now_ms)
    return actions


def _find_stalls(state, gap_ms, now_ms):
    """Avoid targets with stalled requests and return the stalls."""
    is_evidence = gap_ms <= MAX_TICK_GAP_MS and not state.health.is_link_busy
    stalled = state.stalls.find(now_ms, is_evidence)
    for stall in stalled:
        state.pool(stall.service).avoid(stall.target, now_ms + AVOID_MS)
    return stalled


def _eject(state, event):
    entry = state.tags.entries.get(event.name)
    if entry is not None:
        pool = state.pool(entry.service)
        pool.eject(event.name, event.until_ms, event.now_ms)
    return []


def _sweep(state, now_ms):
    """Remove closed and idle flows, and expired retired targets."""
    if state.pins is not None:
        state.pins.expire(now_ms)
    state.absence.forget_waiting(now_ms - state.flow_max_age_ms)
    idle_ms = state.table.idle_limit_ms if state.table else PENDING_TIMEOUT_MS
    for flow in list(state.flows.values()):
        limit_ms = idle_ms
        if flow.phase is not Phase.OPEN:
            limit_ms = CLOSED_RETENTION_MS
        if flow.is_working and now_ms - flow.working_ms > STALE_REQUEST_MS:
            note_work(state, flow, False, now_ms)
        if now_ms - flow.seen_ms > limit_ms:
            end_flow(state, flow, now_ms)
    for name, until_ms in list(state.retired.items()):
        if now_ms >= until_ms:
            del state.retired[name]
            state.health.forget(name)
            state.tags.remove(name)
