"""Members of the group of balancers, and the wire form of their records."""

from enum import IntEnum

from attrs import frozen

from liftmount._internal.exceptions import PacketError
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.addresses import parse_endpoint
from liftmount._internal.models.records import evolve
from liftmount._internal.models.segments import is_integer
from liftmount._internal.models.segments import is_text

_RECORD_FIELDS = 9


class MemberStatus(IntEnum):
    """Status of a member; at the same version the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@frozen
class Member:
    """The record of a balancer in the group.

    ``incarnation`` identifies the process, ``version`` counts the changes
    that the process made to its record.  ``has_platform`` is true if it
    reaches the platform, ``leaving`` during a graceful shutdown.
    """

    name: str
    failure_domain: str
    peer: Endpoint
    control: Endpoint
    incarnation: int
    version: int = 0
    status: MemberStatus = MemberStatus.ALIVE
    has_platform: bool = True
    leaving: bool = False

    @property
    def reachable(self) -> bool:
        """Return whether the member may be sent to: alive or suspected."""
        return self.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)

    @property
    def eligible(self) -> bool:
        """Return whether the member may own pools and take new flows."""
        return self.reachable and not self.leaving

    def newer_than(self, other) -> bool:
        """Return whether this record replaces ``other``."""
        return self._order() > other._order()

    def _order(self):
        return (self.incarnation, self.version, self.status)

    def with_status(self, status: MemberStatus):
        """Return the same record with another status."""
        return evolve(self, status=status)


def member_record(member: Member) -> list:
    """Return the wire form of a member."""
    return [
        member.name,
        member.failure_domain,
        str(member.peer),
        str(member.control),
        member.incarnation,
        member.version,
        int(member.status),
        member.has_platform,
        member.leaving,
    ]


def parse_member(record) -> Member:
    """Decode the wire form of a member; raises PacketError."""
    if type(record) is not list or len(record) < _RECORD_FIELDS:
        raise PacketError('member record is too short')
    name, domain, peer, control, incarnation, version, *rest = record
    status, has_platform, leaving = rest[:3]
    if not all(is_integer(one) for one in (incarnation, version)):
        raise PacketError('member record has a wrong number')
    if not all(is_text(one) for one in (name, domain, peer, control)):
        raise PacketError('member record has a wrong text')
    try:
        return Member(
            name=name,
            failure_domain=domain,
            peer=parse_endpoint(peer),
            control=parse_endpoint(control),
            incarnation=incarnation,
            version=version,
            status=MemberStatus(status),
            has_platform=bool(has_platform),
            leaving=bool(leaving),
        )
    except ValueError as error:
        raise PacketError(str(error)) from error
