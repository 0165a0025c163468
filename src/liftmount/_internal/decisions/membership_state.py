"""State, times and actions of the membership of a group of balancers."""

from hashlib import blake2b

from attrs import define
from attrs import Factory
from attrs import frozen

from liftmount._internal.decisions.member_comparison import ComparisonTimes
from liftmount._internal.decisions.member_digests import MemberDigests
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.members import Member
from liftmount._internal.models.members import MemberStatus

# Multiplier, increment and shift of a linear congruential generator.
_RANDOM_FACTOR = 6364136223846793005
_RANDOM_STEP = 1442695040888963407
_RANDOM_MASK = 2**64 - 1
_RANDOM_SHIFT = 33


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
class ListsDiffer:
    """The list of a member differs; a comparison begins.

    ``own_count`` is the number of members in the own list.
    """

    member: Member
    own_count: int


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


@frozen
class Stalled:
    """This process did not run for a while; nobody is blamed for it."""

    stalled_ms: int


@define
class Probe:
    """A ping that was not answered yet; ``attempts`` counts those sent."""

    target: str
    sent_ms: int
    attempts: int = 1


@define
class MembershipState:
    """The group as one balancer sees it.

    ``digest`` is that of its configuration, to compare with those of peers.
    ``doubtful`` holds the names of members that are not alive, which each
    tick checks; ``confirming`` maps those that this member suspects itself to
    the time of its next ping.  ``gossip`` maps names to the number of messages
    that are still to carry their records.  ``relayed`` maps the sequence of an
    indirect ping to its requester and the requester's sequence.
    ``random_seed`` makes the order of probes differ by member.
    """

    own: Member
    times: MembershipTimes
    digests: MemberDigests
    seeds: tuple = ()
    digest: bytes = b''
    members: dict[str, Member] = Factory(dict)
    changed_ms: dict[str, int] = Factory(dict)
    doubtful: set[str] = Factory(set)
    confirming: dict[str, int] = Factory(dict)
    gossip: dict[str, int] = Factory(dict)
    probes: dict[int, Probe] = Factory(dict)
    relayed: dict = Factory(dict)
    order: list = Factory(list)
    comparison: ComparisonTimes = Factory(ComparisonTimes)
    sequence: int = 0
    periods: int = 0
    next_period_ms: int = 0
    ticked_ms: int = 0
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

    def random(self, bound: int) -> int:
        """Return the next pseudo-random number below ``bound``."""
        mixed = self.random_seed * _RANDOM_FACTOR + _RANDOM_STEP
        self.random_seed = mixed & _RANDOM_MASK
        return (self.random_seed >> _RANDOM_SHIFT) % bound

    def next_sequence(self) -> int:
        """Return a sequence number that was not used before."""
        self.sequence += 1
        return self.sequence

    def store_own(self, record: Member) -> None:
        """Replace the own record."""
        self.own = record
        self.digests.update(record)

    def store(self, record: Member, now_ms: int) -> None:
        """Replace the record of another member."""
        before = self.digests.total
        self.members[record.name] = record
        self.changed_ms[record.name] = now_ms
        self.digests.update(record)
        if self.digests.total != before:
            self.comparison.changed_ms = now_ms

    def forget(self, name: str) -> None:
        """Drop the record of another member."""
        self.doubtful.discard(name)
        del self.members[name]
        del self.changed_ms[name]
        self.confirming.pop(name, None)
        self.gossip.pop(name, None)
        self.digests.remove(name)


def make_membership(
    own: Member,
    times: MembershipTimes,
    seeds,
    now_ms: int,
    compared_domain: str | None = None,
) -> MembershipState:
    """Return the state of a member that has only its seeds.

    Lists are compared with members of ``compared_domain``, as to members of
    that domain; None compares whole lists with all members.
    """
    digest = blake2b(own.name.encode(), digest_size=6).digest()
    state = MembershipState(
        own=own,
        times=times,
        digests=MemberDigests(compared_domain),
        seeds=tuple(seed for seed in seeds if seed != own.peer),
        random_seed=int.from_bytes(digest, 'big'),
        credit_bytes=times.bytes_per_second,
        credited_ms=now_ms,
    )
    state.ticked_ms = now_ms
    state.comparison.changed_ms = now_ms
    state.comparison.compared_ms = now_ms
    state.digests.update(own)
    return state
