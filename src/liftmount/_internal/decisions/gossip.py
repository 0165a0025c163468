"""Gossip: which records a membership message carries, within a byte budget.

A changed record is sent a counted number of times, on messages that are due
anyway.  What all of them miss is found by comparisons of lists.
"""

from math import ceil
from math import log2

from liftmount._internal.decisions.membership_state import BudgetSpent
from liftmount._internal.decisions.membership_state import MembershipState
from liftmount._internal.decisions.membership_state import SendDatagram
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.members import member_record
from liftmount._internal.models.membership_messages import MembershipMessage
from liftmount._internal.models.membership_messages import PING

UPDATES_PER_MESSAGE = 6
UPDATES_FOR_JOINING = 10
RETRANSMIT_FACTOR = 3
DATAGRAM_OVERHEAD_BYTES = 28
MS_PER_S = 1_000


def queue_gossip(state: MembershipState, name: str) -> None:
    """Gossip the record of a member on the next messages."""
    group = len(state.members) + 2
    state.gossip[name] = RETRANSMIT_FACTOR * ceil(log2(group))


def refill_credit(state: MembershipState, now_ms: int) -> None:
    """Add the bytes that the time since the last call has earned."""
    rate = state.times.bytes_per_second
    earned = (now_ms - state.credited_ms) * rate / MS_PER_S
    state.credit_bytes = min(rate, state.credit_bytes + earned)
    state.credited_ms = now_ms


def send(
    state: MembershipState,
    kind: int,
    sequence: int,
    destination: Endpoint,
    *,
    extra: str = '',
    first: tuple[str, ...] = (),
    is_joining: bool = False,
) -> list:
    """Return the actions that send a message with updates.

    The records ``first`` are sent even if the budget is spent.  A joining
    member gets its responder's record and a part of the list.
    """
    if is_joining:
        first = (state.own.name, *first)
    names = _choose_updates(state, first, is_joining)
    actions = []
    if state.credit_bytes <= 0 and len(names) > len(first):
        names = [name for name in names if name in first]
        actions.append(BudgetSpent())
    for name in names:
        _count_transmission(state, name)
    message = _make_message(state, kind, sequence, names, extra)
    return [*actions, *_send_message(state, destination, message)]


def introduce(
    state: MembershipState,
    destination: Endpoint,
    extra: str = '',
    others: tuple[str, ...] = (),
) -> list:
    """Return the actions that send a ping with the own record first.

    The records ``others`` follow it.
    """
    return send(
        state,
        PING,
        state.next_sequence(),
        destination,
        extra=extra,
        first=(state.own.name, *others),
    )


def send_range(
    state: MembershipState,
    kind: int,
    destination: Endpoint,
    list_range: list,
    names=(),
) -> list:
    """Return the actions that send a message of a comparison.

    It is left out if the byte budget is spent.
    """
    if state.credit_bytes <= 0:
        return [BudgetSpent()]
    message = _make_message(state, kind, 0, names, '', list_range)
    return _send_message(state, destination, message)


def _make_message(state, kind, sequence, names, extra, list_range=()):
    return MembershipMessage(
        kind=kind,
        sequence=sequence,
        sender=state.own.name,
        incarnation=state.own.incarnation,
        digest=state.digest,
        updates=[member_record(state.find(name)) for name in names],
        extra=extra,
        list_digest=state.digests.digest(),
        list_range=list(list_range),
    )


def _send_message(state, destination, message):
    datagram = message.encode()
    size_bytes = len(datagram) + DATAGRAM_OVERHEAD_BYTES
    # Answers may exceed the budget; they hold gossip up for a second at most.
    debt_limit = -state.times.bytes_per_second
    state.credit_bytes = max(debt_limit, state.credit_bytes - size_bytes)
    state.sent_bytes += size_bytes
    return [SendDatagram(destination, datagram)]


def _choose_updates(state, first, is_joining):
    limit = UPDATES_FOR_JOINING if is_joining else UPDATES_PER_MESSAGE
    names = list(dict.fromkeys(first))
    if is_joining:
        others = [one.name for one in state.reachable()]
        start = state.random(len(others)) if others else 0
        others = others[start:] + others[:start]
        names += [name for name in others if name not in names]
    fresh = sorted(state.gossip, key=state.gossip.get, reverse=True)
    names += [name for name in fresh if name not in names]
    return [name for name in names if state.find(name)][:limit]


def _count_transmission(state, name):
    left = state.gossip.get(name, 0) - 1
    if left > 0:
        state.gossip[name] = left
    else:
        state.gossip.pop(name, None)
