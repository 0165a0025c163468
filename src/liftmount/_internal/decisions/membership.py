"""Membership: failure detection and gossip after SWIM.

Each period a member pings one other.  Without an answer it requests
indirect pings from two more, then suspects the member, then declares it
dead.  Changes are piggybacked on pings and answers (Das, Gupta and Motivala,
"SWIM", DSN 2002), so that the cost for a member does not grow with the group.
Members also compare their lists, see ``member_comparison``.
"""

from liftmount._internal.decisions import failure_detector
from liftmount._internal.decisions import member_comparison
from liftmount._internal.decisions.failure_detector import doubted_names
from liftmount._internal.decisions.gossip import introduce
from liftmount._internal.decisions.gossip import send
from liftmount._internal.decisions.gossip import send_range
from liftmount._internal.decisions.member_records import announce
from liftmount._internal.decisions.member_records import learn
from liftmount._internal.decisions.member_records import learn_all
from liftmount._internal.decisions.membership_state import BudgetSpent
from liftmount._internal.decisions.membership_state import DigestDiffers
from liftmount._internal.decisions.membership_state import ListsDiffer
from liftmount._internal.decisions.membership_state import make_membership
from liftmount._internal.decisions.membership_state import MemberChanged
from liftmount._internal.decisions.membership_state import MembershipState
from liftmount._internal.decisions.membership_state import MembershipTimes
from liftmount._internal.decisions.membership_state import MessageArrived
from liftmount._internal.decisions.membership_state import Refuted
from liftmount._internal.decisions.membership_state import SendDatagram
from liftmount._internal.decisions.membership_state import Stalled
from liftmount._internal.decisions.membership_state import UnknownSender
from liftmount._internal.exceptions import PacketError
from liftmount._internal.models import membership_messages
from liftmount._internal.models.addresses import parse_endpoint
from liftmount._internal.models.members import Member
from liftmount._internal.models.members import parse_member
from liftmount._internal.models.membership_messages import ACK
from liftmount._internal.models.membership_messages import COMPARE
from liftmount._internal.models.membership_messages import JOIN
from liftmount._internal.models.membership_messages import parse_message
from liftmount._internal.models.membership_messages import PING
from liftmount._internal.models.membership_messages import RECORD_WANTED
from liftmount._internal.models.membership_messages import RECORDS
from liftmount._internal.models.membership_messages import RECORDS_REPLY
from liftmount._internal.models.records import Tick

MAX_RELAYED = 64
# Newer records that an ACK returns for outdated ones.
MAX_CORRECTIONS = 3

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
    'Stalled',
    'UnknownSender',
)


def decide(state: MembershipState, event) -> list:
    """Return the actions for a Tick or a MessageArrived."""
    match event:
        case Tick():
            return failure_detector.tick(state, event.now_ms)
        case MessageArrived():
            return _on_message(state, event)
    raise TypeError(f'unknown event {event!r}')


def _on_message(state, event):
    message = parse_message(event.message)
    if message.sender == state.own.name:
        # Sent to this member's address as that of an unknown sender.
        return []
    now_ms = event.now_ms
    before = state.members.get(message.sender)
    is_joining = (
        not _is_current(before, message)
        # A restarted member may have been in contact before it asks.
        or message.extra == JOIN
    )
    received = [parse_member(one) for one in message.updates]
    corrections = _corrections(state, received)
    actions = _learn_received(state, message, received, now_ms)
    known = state.members.get(message.sender)
    if not _is_current(known, message):
        actions.append(UnknownSender(message.sender))
    destination = event.source if known is None else known.peer
    match message.kind:
        case membership_messages.PING:
            actions += _send_ack(
                state, message, destination, known, is_joining, corrections
            )
        case membership_messages.ACK:
            has_refuted = any(isinstance(one, Refuted) for one in actions)
            actions += _on_ack(state, message, destination, has_refuted)
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


def _corrections(state, received):
    """Return the names of received records that are outdated.

    Those of this member are included if they are wrong: it refutes them.
    """
    names = []
    for record in received:
        held = state.find(record.name)
        is_own = record.name == state.own.name
        if held is None or record == held:
            continue
        if is_own or held.newer_than(record):
            names.append(record.name)
    return tuple(names[:MAX_CORRECTIONS])


def _send_ack(state, message, destination, known, is_joining, corrections):
    extra = '' if _is_current(known, message) else RECORD_WANTED
    return send(
        state,
        ACK,
        message.sequence,
        destination,
        extra=extra,
        first=(*doubted_names(known), *corrections),
        is_joining=is_joining,
    )


def _on_ack(state, message, destination, has_refuted):
    actions = []
    if message.extra == RECORD_WANTED or has_refuted:
        actions += introduce(state, destination)
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
    # Of a suspect the requester sends the record, to be refuted.
    doubted = [
        name
        for name in state.doubtful
        if state.members[name].peer == destination
    ]
    return send(state, PING, sequence, destination, first=tuple(doubted))


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
    return introduce(state, member.peer)
