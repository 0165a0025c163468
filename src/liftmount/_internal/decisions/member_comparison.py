"""Anti-entropy: two members compare their lists and exchange what differs.

Gossip sends each change a counted number of times, so a change may miss a
member for good.  Members therefore state a digest of their list in each ping
and ACK.  If two differ for a while, COMPARE messages narrow the difference
down to a range of few members, whose records are exchanged (RECORDS and
RECORDS_REPLY).  No message of an exchange depends on an earlier one: a lost
one is made up for by the next comparison.
"""

from attrs import define
from attrs import frozen

from liftmount._internal.decisions.member_digests import BucketRange
from liftmount._internal.decisions.member_digests import BUCKETS
from liftmount._internal.decisions.member_digests import find_bucket
from liftmount._internal.decisions.member_digests import MemberDigests
from liftmount._internal.decisions.member_digests import PART_DIGEST_BYTES
from liftmount._internal.decisions.member_digests import PARTS
from liftmount._internal.exceptions import PacketError
from liftmount._internal.models.members import Member

# Records of one message, which has to fit into a datagram.
MAX_RECORDS = 12
# Differing parts of a range that one message follows up.
MAX_PARTS = 2
# While a list changes, gossip of the change is on its way to others.
QUIET_MS = 2_000
MIN_INTERVAL_MS = 2_000
# A list that never rests is compared all the same.
MAX_INTERVAL_MS = 8_000


@define
class ComparisonTimes:
    """When the own list changed, and when it was last compared."""

    changed_ms: int = 0
    compared_ms: int = 0

    def is_due(self, now_ms: int) -> bool:
        """Return whether a list that differs may be compared now."""
        since_ms = now_ms - self.compared_ms
        if since_ms < MIN_INTERVAL_MS:
            return False
        is_quiet = now_ms - self.changed_ms >= QUIET_MS
        return is_quiet or since_ms >= MAX_INTERVAL_MS


@frozen
class CompareRange:
    """Send the digests of the parts of a range."""

    within: BucketRange


@frozen
class OfferRecords:
    """Send the records of a range."""

    within: BucketRange


def start(digests: MemberDigests) -> CompareRange | OfferRecords:
    """Return the first step of a comparison."""
    return _next_step(digests, BucketRange())


def compare(digests: MemberDigests, within: BucketRange, theirs: bytes):
    """Return steps for the parts of a range whose digests differ.

    Raises PacketError if there are not as many digests as parts.
    """
    if within.count < PARTS or len(theirs) != PARTS * PART_DIGEST_BYTES:
        raise PacketError('digests of a range of members are malformed')
    ours = digests.part_digests(within)
    differing = [
        within.part(index)
        for index in range(PARTS)
        if _part(ours, index) != _part(theirs, index)
    ]
    return [_next_step(digests, one) for one in differing[:MAX_PARTS]]


def parse_range(fields: list) -> BucketRange:
    """Return the range of a message; raises PacketError."""
    first, count = fields[:2]
    counts = (BUCKETS, BUCKETS // PARTS, PARTS, 1)
    if count not in counts or first % count or not 0 <= first < BUCKETS:
        raise PacketError('range of members is malformed')
    return BucketRange(first, count)


def records_within(
    digests: MemberDigests, members: dict, doubtful, within: BucketRange
) -> list[str]:
    """Return the names of the records to offer for a range.

    Members that are gone are included as far as there is room: the other
    list may still hold them.  ``members`` holds records by name.
    """
    gone = [
        name
        for name in sorted(doubtful)
        if not members[name].reachable and within.holds(find_bucket(name))
    ]
    return [*digests.names(within), *gone][:MAX_RECORDS]


def newer_names(
    digests: MemberDigests,
    find,
    received: list[Member],
    within: BucketRange,
) -> list[str]:
    """Return the names that the sender of ``received`` lacks in a range.

    ``find(name)`` returns the own record of a member, or None.
    """
    theirs = {one.name: one for one in received}
    missing = [one for one in digests.names(within) if one not in theirs]
    newer = [
        name
        for name, record in theirs.items()
        if find(name) is not None and find(name).newer_than(record)
    ]
    return [*missing, *newer][:MAX_RECORDS]


def _next_step(digests, within):
    is_small = len(digests.names(within)) <= MAX_RECORDS
    if is_small or within.count == 1:
        return OfferRecords(within)
    return CompareRange(within)


def _part(digests, index):
    start_at = index * PART_DIGEST_BYTES
    return digests[start_at : start_at + PART_DIGEST_BYTES]
