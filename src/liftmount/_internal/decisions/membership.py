"""Membership: failure detection and gossip after SWIM.

Each period a member pings one other.  Without an answer it requests
indirect pings from two more, then suspects the member, then declares it
dead.  Changes are piggybacked on pings and answers (Das, Gupta and Motivala,
"SWIM", DSN 2002), so that the cost for a member does not grow with the group.
Members also compare their lists, see ``member_comparison``.
"""

from liftmount._internal.decisions import member_comparison
from liftmount._internal.decisions.gossip import queue_gossip
from liftmount._internal.decisions.gossip import refill_credit
from liftmount._internal.decisions.gossip import send
from liftmount._internal.decisions.gossip import send_range
from liftmount._internal.decisions.membership_state import BudgetSpent
from liftmount._internal.decisions.membership_state import DigestDiffers
from liftmount._internal.decisions.membership_state import ListsDiffer
from liftmount._internal.decisions.membership_state import make_membership
from liftmount._internal.decisions.membership_state import MemberChanged
from liftmount._internal.decisions.membership_state import MembershipState
from liftmount._internal.decisions.membership_state import MembershipTimes
from liftmount._internal.decisions.membership_state import MessageArrived
from liftmount._internal.decisions.membership_state import Probe
from liftmount._internal.decisions.membership_state import Refuted
from liftmount._internal.decisions.membership_state import SendDatagram
from liftmount._internal.decisions.membership_state import UnknownSender
from liftmount._internal.exceptions import PacketError
from liftmount._internal.models import membership_messages
from liftmount._internal.models.addresses import parse_endpoint
from liftmount._internal.models.members import Member
from liftmount._internal.models.members import MemberStatus
from liftmount._internal.models.members import parse_member
from liftmount._internal.models.membership_messages import ACK
from liftmount._internal.models.membership_messages import COMPARE
from liftmount._internal.models.membership_messages import JOIN
from liftmount._internal.models.membership_messages import parse_message
from liftmount._internal.models.membership_messages import PING
from liftmount._internal.models.membership_messages import PING_REQUEST
from liftmount._internal.models.membership_messages import RECORD_WANTED
from liftmount._internal.models.membership_messages import RECORDS
from liftmount._internal.models.membership_messages import RECORDS_REPLY
from liftmount._internal.models.records import evolve
from liftmount._internal.models.records import Tick

INDIRECT_PROBES = 2
# Dead members are probed every few periods, to notice healed partitions.
DEAD_PROBE_PERIODS = 4
DEAD_KEPT_MS = 600_000
MAX_RELAYED = 64

__all__ = (
    'announce',
    'BudgetSpent',
    'decide',
    'DigestDiffers',
    'farewell',
    'learn',
    'learn_all',
    'ListsDiffer',
    'make_membership',
    'MemberChanged',
    'MembershipState',
    'MembershipTimes',
    'MessageArrived',
    'Refuted',
    'SendDatagram',
    'UnknownSender',
)


def decide(state: MembershipState, event) -> list:
    """Return the actions for a Tick or a MessageArrived."""
    match event:
        case Tick():
            return _tick(state, event.now_ms)
        case MessageArrived():
            return _on_message(state, event)
    raise TypeError(f'unknown event {event!r}')


def announce(state: MembershipState, **changes) -> None:
    """Change this member's own record and gossip it."""
    version = state.own.version + 1
    state.store_own(evolve(state.own, version=version, **changes))
    queue_gossip(state, state.own.name)


def learn_all(state: MembershipState, members, now_ms: int) -> list:
    """Apply a list of records; return the actions.

    They are not gossiped further: other starting members fetch lists too, and
    gossip of all records would spend the byte budget.
    """
    actions = []
    for member in members:
        was_queued = member.name in state.gossip
        actions += learn(state, member, now_ms)
        if member.name != state.own.name and not was_queued:
            state.gossip.pop(member.name, None)
    return actions


def learn(state: MembershipState, member: Member, now_ms: int) -> list:
    """Apply a record if it is newer than the one held; return actions."""
    if member.name == state.own.name:
        return _refute(state, member)
    known = state.members.get(member.name)
    if known is not None and not member.newer_than(known):
        return []
    state.store(member, now_ms)
    if member.status is MemberStatus.ALIVE:
        state.doubtful.discard(member.name)
    else:
        state.doubtful.add(member.name)
    queue_gossip(state, member.name)
    return [MemberChanged(member)]


def _refute(state, member):
    """Refute a wrong record of this member by a newer version."""
    if member.incarnation > state.own.incarnation:
        # From an earlier process of this name, whose clock was ahead.
        incarnation = member.incarnation + 1
        state.store_own(evolve(state.own, incarnation=incarnation))
        queue_gossip(state, state.own.name)
        return []
    if member.incarnation != state.own.incarnation:
        return []
    if not member.newer_than(state.own):
        return []
    state.store_own(evolve(state.own, version=member.version + 1))
    queue_gossip(state, state.own.name)
    return [Refuted(member.status, state.own.version)]


def _tick(state, now_ms):
    refill_credit(state, now_ms)
    actions = _check_probes(state, now_ms)
    actions += _check_suspects(state, now_ms)
    if now_ms >= state.next_period_ms:
        state.next_period_ms = now_ms + state.times.period_ms
        state.periods += 1
        actions += _start_period(state, now_ms)
    return actions


def _start_period(state, now_ms):
    actions = []
    target = _next_target(state)
    if target is not None:
        sequence = state.next_sequence()
        state.probes[sequence] = Probe(target.name, now_ms)
        actions += send(state, PING, sequence, target.peer)
    if state.periods % DEAD_PROBE_PERIODS == 0 or target is None:
        actions += _probe_unreachable(state)
    return actions


def _probe_unreachable(state):
    """Ping a dead member or an unknown seed that may be back."""
    doubtful = [state.members[name] for name in sorted(state.doubtful)]
    candidates = [
        one.peer for one in doubtful if one.status is MemberStatus.DEAD
    ]
    known = {one.peer for one in state.members.values()}
    candidates += [seed for seed in state.seeds if seed not in known]
    if not candidates:
        return []
    destination = candidates[state.random(len(candidates))]
    extra = JOIN if not state.reachable() else ''
    return _introduce(state, destination, extra)


def _introduce(state, destination, extra=''):
    """Send a ping that carries the own record first."""
    return send(
        state,
        PING,
        state.next_sequence(),
        destination,
        extra=extra,
        first=(state.own.name,),
    )


def _next_target(state):
    while state.order:
        member = state.members.get(state.order.pop())
        if member is not None and member.reachable:
            return member
    names = [one.name for one in state.reachable()]
    if not names:
        return None
    for index in range(len(names) - 1, 0, -1):
        other = state.random(index + 1)
        names[index], names[other] = names[other], names[index]
    state.order = names
    return state.members[state.order.pop()]


def _check_probes(state, now_ms):
    actions = []
    for sequence, probe in list(state.probes.items()):
        waited_ms = now_ms - probe.sent_ms
        if waited_ms >= state.times.period_ms:
            del state.probes[sequence]
            actions += _suspect(state, probe.target, now_ms)
        elif probe.attempts == 1 and waited_ms >= state.times.probe_timeout_ms:
            probe.attempts += 1
            actions += _request_indirect_probes(state, sequence, probe.target)
    return actions


def _request_indirect_probes(state, sequence, target):
    member = state.members.get(target)
    others = [one for one in state.reachable() if one.name != target]
    actions = []
    for _ in range(min(INDIRECT_PROBES, len(others))):
        helper = others.pop(state.random(len(others)))
        actions += send(
            state,
            PING_REQUEST,
            sequence,
            helper.peer,
            extra=str(member.peer),
        )
    return actions


def _suspect(state, name, now_ms):
    member = state.members.get(name)
    if member is None or member.status is not MemberStatus.ALIVE:
        return []
    return learn(state, member.with_status(MemberStatus.SUSPECT), now_ms)


def _check_suspects(state, now_ms):
    actions = []
    for name in list(state.doubtful):
        member = state.members[name]
        age_ms = now_ms - state.changed_ms[name]
        if member.status is MemberStatus.SUSPECT:
            if age_ms >= state.times.suspicion_ms:
                dead = member.with_status(MemberStatus.DEAD)
                actions += learn(state, dead, now_ms)
        elif age_ms >= DEAD_KEPT_MS:
            state.forget(name)
    return actions


def _on_message(state, event):
    message = parse_message(event.message)
    now_ms = event.now_ms
    before = state.members.get(message.sender)
    is_joining = (
        not _is_current(before, message)
        # A restarted member may have been in contact before it asks.
        or message.extra == JOIN
    )
    received = [parse_member(one) for one in message.updates]
    actions = _learn_received(state, message, received, now_ms)
    known = state.members.get(message.sender)
    if not _is_current(known, message):
        actions.append(UnknownSender(message.sender))
    destination = event.source if known is None else known.peer
    match message.kind:
        case membership_messages.PING:
            actions += _send_ack(
                state, message, destination, known, is_joining
            )
        case membership_messages.ACK:
            actions += _on_ack(state, message, destination)
            actions += _compare_lists(state, message, known, now_ms)
        case membership_messages.PING_REQUEST:
            actions += _relay_ping(state, message, destination)
        case membership_messages.COMPARE:
            actions += _on_compare(state, message, destination)
        case membership_messages.RECORDS:
            actions += _on_records(state, message, received, destination)
    if (
        known is not None
        and known.reachable
        and message.digest != state.digest
    ):
        actions.append(DigestDiffers(known))
    return actions


def _is_current(record, message):
    """Return whether a record is that of the sender's process."""
    return record is not None and record.incarnation >= message.incarnation


def _learn_received(state, message, received, now_ms):
    """Apply the records of a message.

    A message of a dead member does not make it alive by itself: the member
    has to refute its record.
    """
    actions = []
    is_comparison = message.kind in (RECORDS, RECORDS_REPLY)
    for record in received:
        is_gone = not record.reachable and record.name not in state.members
        if is_comparison and is_gone and record.name != state.own.name:
            # The own record of it has expired; it is not to come back.
            continue
        actions += learn(state, record, now_ms)
    return actions


def _send_ack(state, message, destination, known, is_joining):
    extra = '' if _is_current(known, message) else RECORD_WANTED
    if known is not None and not known.reachable:
        # Send the member its own record, so that it can refute it.
        queue_gossip(state, known.name)
    return send(
        state,
        ACK,
        message.sequence,
        destination,
        extra=extra,
        is_joining=is_joining,
    )


def _on_ack(state, message, destination):
    actions = []
    if message.extra == RECORD_WANTED:
        actions += _introduce(state, destination)
    relayed = state.relayed.pop(message.sequence, None)
    if relayed is not None:
        requester, original = relayed
        return [*actions, *send(state, ACK, original, requester)]
    state.probes.pop(message.sequence, None)
    return actions


def _relay_ping(state, message, requester):
    try:
        destination = parse_endpoint(message.extra)
    except ValueError as error:
        raise PacketError(str(error)) from error
    sequence = state.next_sequence()
    if len(state.relayed) >= MAX_RELAYED:
        state.relayed.clear()
    state.relayed[sequence] = (requester, message.sequence)
    return send(state, PING, sequence, destination)


def _compare_lists(state, message, known, now_ms):
    """Begin a comparison with a member whose list differs."""
    if known is None or not state.digests.covers(known):
        return []
    if message.list_digest in (b'', state.digests.digest()):
        return []
    if not state.comparison.is_due(now_ms):
        return []
    state.comparison.compared_ms = now_ms
    step = member_comparison.start(state.digests)
    return [
        ListsDiffer(known, 1 + len(state.reachable())),
        *_take_step(state, step, known.peer),
    ]


def _on_compare(state, message, destination):
    within = member_comparison.parse_range(message.list_range)
    steps = member_comparison.compare(
        state.digests, within, message.list_range[2]
    )
    actions = []
    for step in steps:
        actions += _take_step(state, step, destination)
    return actions


def _take_step(state, step, destination):
    """Send a step of a comparison."""
    within = step.within
    fields = [within.first, within.count, b'']
    match step:
        case member_comparison.CompareRange():
            fields[2] = state.digests.part_digests(within)
            return send_range(state, COMPARE, destination, fields)
        case member_comparison.OfferRecords():
            names = member_comparison.records_within(
                state.digests, state.members, state.doubtful, within
            )
            return send_range(state, RECORDS, destination, fields, names)
    raise TypeError(f'unknown step {step!r}')


def _on_records(state, message, received, destination):
    """Answer with the records that the sender lacks."""
    within = member_comparison.parse_range(message.list_range)
    names = member_comparison.newer_names(
        state.digests, state.find, received, within
    )
    if not names:
        return []
    fields = message.list_range
    return send_range(state, RECORDS_REPLY, destination, fields, names)


def farewell(state: MembershipState, member: Member) -> list:
    """Return a ping to ``member`` that carries this member's record first."""
    return _introduce(state, member.peer)
