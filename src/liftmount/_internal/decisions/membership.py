"""Membership: failure detection and gossip after SWIM.

Each period a member pings one other.  Without an answer it requests
indirect pings from two more, then suspects the member, then declares it
dead.  Changes are piggybacked on pings and answers (Das, Gupta and Motivala,
"SWIM", DSN 2002), so that the cost for a member does not grow with the group.

Messages are lists ``[kind, sequence, sender, incarnation, digest, updates,
extra]``.  Updates are left out when the sender's byte budget is spent.
"""

from hashlib import blake2b
from math import ceil
from math import log2

from attrs import define
from attrs import Factory
from attrs import frozen

from liftmount._internal.exceptions import PacketError
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.addresses import parse_endpoint
from liftmount._internal.models.envelopes import encode_membership
from liftmount._internal.models.members import Member
from liftmount._internal.models.members import member_record
from liftmount._internal.models.members import MemberStatus
from liftmount._internal.models.members import parse_member
from liftmount._internal.models.records import evolve
from liftmount._internal.models.records import Tick

PING = 1
ACK = 2
PING_REQUEST = 3
MESSAGE_FIELDS = 7
INDIRECT_PROBES = 2
UPDATES_PER_MESSAGE = 6
UPDATES_FOR_JOINING = 10
RETRANSMIT_FACTOR = 3
# Dead members are probed every few periods, to notice healed partitions.
DEAD_PROBE_PERIODS = 4
DEAD_KEPT_MS = 600_000
DATAGRAM_OVERHEAD_BYTES = 28
MAX_RELAYED = 64
# ``extra`` of a ping whose sender has no members yet.
JOIN = 'join'


@frozen
class MembershipTimes:
    """Times of the failure detector, and the byte budget."""

    period_ms: int = 500
    probe_timeout_ms: int = 150
    suspicion_ms: int = 1_200
    bytes_per_second: int = 2_000


@frozen
class MessageArrived:
    """A membership message of a peer, as decoded from CBOR."""

    message: list
    source: Endpoint
    now_ms: int


@frozen
class SendDatagram:
    """Send an encoded membership message."""

    destination: Endpoint
    datagram: bytes


@frozen
class MemberChanged:
    """The record of a member has changed."""

    member: Member


@frozen
class DigestDiffers:
    """A reachable member holds another configuration than this one."""

    member: Member


@frozen
class BudgetSpent:
    """Updates were left out of a message: the byte budget is spent."""


@frozen
class UnknownSender:
    """A message came from a process whose record is not held."""

    name: str


@frozen
class Refuted:
    """Another member doubted this one, which raised its version.

    ``status`` is the status it had been given.
    """

    status: MemberStatus
    version: int


@define
class _Probe:
    target: str
    sent_ms: int
    is_indirect: bool = False


@define
class MembershipState:
    """The group as one balancer sees it.

    ``digest`` is that of its configuration, to compare with those of peers.
    ``doubtful`` holds the names of members that are not alive, which each
    tick checks; ``gossip`` maps names to the number of messages that are
    still to carry their records.  ``relayed`` maps the sequence of an
    indirect ping to its requester and the requester's sequence.
    ``random_seed`` makes the order of probes differ by member.
    """

    own: Member
    times: MembershipTimes
    seeds: tuple = ()
    digest: bytes = b''
    members: dict[str, Member] = Factory(dict)
    changed_ms: dict[str, int] = Factory(dict)
    doubtful: set[str] = Factory(set)
    gossip: dict[str, int] = Factory(dict)
    probes: dict[int, _Probe] = Factory(dict)
    relayed: dict = Factory(dict)
    order: list = Factory(list)
    sequence: int = 0
    periods: int = 0
    next_period_ms: int = 0
    random_seed: int = 1
    credit_bytes: float = 0.0
    credited_ms: int = 0
    sent_bytes: int = 0

    def reachable(self) -> list[Member]:
        """Return the other members that are alive or suspected."""
        return [one for one in self.members.values() if one.reachable]

    def find(self, name: str) -> Member | None:
        """Return a member by name, this one included."""
        return self.own if name == self.own.name else self.members.get(name)


def make_membership(own, times, seeds, now_ms) -> MembershipState:
    """Return the state of a member that has only its seeds."""
    digest = blake2b(own.name.encode(), digest_size=6).digest()
    return MembershipState(
        own=own,
        times=times,
        seeds=tuple(seed for seed in seeds if seed != own.peer),
        random_seed=int.from_bytes(digest, 'big'),
        credit_bytes=times.bytes_per_second,
        credited_ms=now_ms,
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
    state.own = evolve(state.own, version=version, **changes)
    _queue_gossip(state, state.own.name)


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
    state.members[member.name] = member
    state.changed_ms[member.name] = now_ms
    if member.status is MemberStatus.ALIVE:
        state.doubtful.discard(member.name)
    else:
        state.doubtful.add(member.name)
    _queue_gossip(state, member.name)
    return [MemberChanged(member)]


def _refute(state, member):
    """Refute a wrong record of this member by a newer version."""
    if member.incarnation > state.own.incarnation:
        # From an earlier process of this name, whose clock was ahead.
        state.own = evolve(state.own, incarnation=member.incarnation + 1)
        _queue_gossip(state, state.own.name)
        return []
    if member.incarnation != state.own.incarnation:
        return []
    if not member.newer_than(state.own):
        return []
    state.own = evolve(state.own, version=member.version + 1)
    _queue_gossip(state, state.own.name)
    return [Refuted(member.status, state.own.version)]


def _queue_gossip(state, name):
    group = len(state.members) + 2
    state.gossip[name] = RETRANSMIT_FACTOR * ceil(log2(group))


def _tick(state, now_ms):
    _refill_credit(state, now_ms)
    actions = _check_probes(state, now_ms)
    actions += _check_suspects(state, now_ms)
    if now_ms >= state.next_period_ms:
        state.next_period_ms = now_ms + state.times.period_ms
        state.periods += 1
        actions += _start_period(state, now_ms)
    return actions


def _refill_credit(state, now_ms):
    rate = state.times.bytes_per_second
    earned = (now_ms - state.credited_ms) * rate / 1000
    state.credit_bytes = min(rate, state.credit_bytes + earned)
    state.credited_ms = now_ms


def _start_period(state, now_ms):
    actions = []
    target = _next_target(state)
    if target is not None:
        state.sequence += 1
        state.probes[state.sequence] = _Probe(target.name, now_ms)
        actions += _send(state, PING, state.sequence, target.peer)
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
    state.sequence += 1
    destination = candidates[_random(state, len(candidates))]
    extra = JOIN if not state.reachable() else ''
    return _send(
        state, PING, state.sequence, destination, extra, own_first=True
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
        other = _random(state, index + 1)
        names[index], names[other] = names[other], names[index]
    state.order = names
    return state.members[state.order.pop()]


def _random(state, bound):
    factor, step = 6364136223846793005, 1442695040888963407
    state.random_seed = (state.random_seed * factor + step) & (2**64 - 1)
    return (state.random_seed >> 33) % bound


def _check_probes(state, now_ms):
    actions = []
    for sequence, probe in list(state.probes.items()):
        waited_ms = now_ms - probe.sent_ms
        if waited_ms >= state.times.period_ms:
            del state.probes[sequence]
            actions += _suspect(state, probe.target, now_ms)
        elif (
            not probe.is_indirect and waited_ms >= state.times.probe_timeout_ms
        ):
            probe.is_indirect = True
            actions += _request_indirect_probes(state, sequence, probe.target)
    return actions


def _request_indirect_probes(state, sequence, target):
    member = state.members.get(target)
    others = [one for one in state.reachable() if one.name != target]
    actions = []
    for _ in range(min(INDIRECT_PROBES, len(others))):
        helper = others.pop(_random(state, len(others)))
        actions += _send(
            state, PING_REQUEST, sequence, helper.peer, str(member.peer)
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
            state.doubtful.discard(name)
            del state.members[name]
            del state.changed_ms[name]
            state.gossip.pop(name, None)
    return actions


def _on_message(state, event):
    message = _validate(event.message)
    kind, sequence, sender, incarnation, digest, updates, extra = message
    now_ms = event.now_ms
    before = state.members.get(sender)
    is_joining = before is None or before.incarnation != incarnation
    # A restarted member may have been in contact before it asks for members.
    is_joining = is_joining or extra == JOIN
    actions = []
    # A message of a dead member does not make it alive by itself: the member
    # has to refute its record.
    for record in updates:
        actions += learn(state, parse_member(record), now_ms)
    known = state.members.get(sender)
    if known is None or known.incarnation < incarnation:
        actions.append(UnknownSender(sender))
    destination = event.source if known is None else known.peer
    if kind == PING:
        actions += _send_ack(state, sequence, destination, known, is_joining)
    elif kind == ACK:
        actions += _on_ack(state, sequence)
    elif kind == PING_REQUEST:
        actions += _relay_ping(state, sequence, destination, extra)
    if known is not None and known.reachable and digest != state.digest:
        actions.append(DigestDiffers(known))
    return actions


def _validate(message):
    if type(message) is not list or len(message) < MESSAGE_FIELDS:
        raise PacketError('membership message is too short')
    message = message[:MESSAGE_FIELDS]
    kinds = (int, int, str, int, bytes, list, str)
    for value, kind in zip(message, kinds, strict=True):
        if type(value) is not kind:
            raise PacketError('membership message has a wrong type')
    return message


def _send_ack(state, sequence, destination, known, is_joining):
    if is_joining:
        return _send(state, ACK, sequence, destination, is_joining=True)
    if not known.reachable:
        # Send the member its own record, so that it can refute it.
        _queue_gossip(state, known.name)
    return _send(state, ACK, sequence, destination)


def _on_ack(state, sequence):
    relayed = state.relayed.pop(sequence, None)
    if relayed is not None:
        destination, original = relayed
        return _send(state, ACK, original, destination)
    state.probes.pop(sequence, None)
    return []


def _relay_ping(state, sequence, requester, target):
    try:
        destination = parse_endpoint(target)
    except ValueError as error:
        raise PacketError(str(error)) from error
    state.sequence += 1
    if len(state.relayed) >= MAX_RELAYED:
        state.relayed.clear()
    state.relayed[state.sequence] = (requester, sequence)
    return _send(state, PING, state.sequence, destination)


def _send(
    state,
    kind,
    sequence,
    destination,
    extra='',
    is_joining=False,
    own_first=False,
):
    limit = UPDATES_FOR_JOINING if is_joining else UPDATES_PER_MESSAGE
    names = _choose_updates(state, limit, is_joining, own_first)
    actions = []
    if state.credit_bytes <= 0 and names:
        names = []
        actions.append(BudgetSpent())
    for name in names:
        _count_transmission(state, name)
    records = [member_record(state.find(name)) for name in names]
    message = [
        kind,
        sequence,
        state.own.name,
        state.own.incarnation,
        state.digest,
        records,
        extra,
    ]
    datagram = encode_membership(message)
    size_bytes = len(datagram) + DATAGRAM_OVERHEAD_BYTES
    state.credit_bytes -= size_bytes
    state.sent_bytes += size_bytes
    return [*actions, SendDatagram(destination, datagram)]


def _choose_updates(state, limit, is_joining, own_first):
    names = []
    if is_joining or own_first:
        names.append(state.own.name)
    if is_joining:
        others = [one.name for one in state.reachable()]
        start = _random(state, len(others)) if others else 0
        names += others[start:] + others[:start]
    fresh = sorted(state.gossip, key=state.gossip.get, reverse=True)
    names += [name for name in fresh if name not in names]
    return [name for name in names if state.find(name)][:limit]


def _count_transmission(state, name):
    left = state.gossip.get(name, 0) - 1
    if left > 0:
        state.gossip[name] = left
    else:
        state.gossip.pop(name, None)


def farewell(state: MembershipState, member: Member) -> list:
    """Return a ping to ``member`` that carries this member's record first."""
    state.sequence += 1
    return _send(state, PING, state.sequence, member.peer, own_first=True)
