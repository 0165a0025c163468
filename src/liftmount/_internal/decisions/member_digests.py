"""Digests of a list of members, to find differences between two lists.

A member's name gives its bucket.  A range of buckets is compared by the
digests of its PARTS equal parts, so that two lists of thousands of members
that differ in one record find it in three messages.
"""

from hashlib import blake2b
from zlib import crc32

from attrs import define
from attrs import Factory
from attrs import frozen

from liftmount._internal.models.members import Member

PARTS = 16
BUCKETS = PARTS**3
DIGEST_BYTES = 8
PART_DIGEST_BYTES = 4
_PART_MASK = 2 ** (8 * PART_DIGEST_BYTES) - 1


@frozen
class BucketRange:
    """The buckets from ``first`` to before ``first + count``."""

    first: int = 0
    count: int = BUCKETS

    def holds(self, bucket: int) -> bool:
        """Return whether a bucket is in the range."""
        return self.first <= bucket < self.first + self.count

    def part(self, index: int):
        """Return one of the PARTS equal parts."""
        step = self.count // PARTS
        return BucketRange(self.first + index * step, step)


@frozen
class _Entry:
    bucket: int
    value: int


@define
class MemberDigests:
    """Digests of the records of reachable members, by name.

    With ``failure_domain``, records of other domains are left out.  A record
    is represented by its name, incarnation and version: a suspicion is no
    difference.
    """

    failure_domain: str | None = None
    total: int = 0
    _entries: dict[str, _Entry] = Factory(dict)

    def covers(self, member: Member) -> bool:
        """Return whether the member's domain is compared."""
        return self.failure_domain in (None, member.failure_domain)

    def update(self, member: Member) -> None:
        """Replace the record of a member."""
        self.remove(member.name)
        if not member.reachable or not self.covers(member):
            return
        entry = _Entry(find_bucket(member.name), _hash_record(member))
        self._entries[member.name] = entry
        self.total ^= entry.value

    def remove(self, name: str) -> None:
        """Remove the record of a member, if there is one."""
        entry = self._entries.pop(name, None)
        if entry is not None:
            self.total ^= entry.value

    def digest(self) -> bytes:
        """Return the digest of the whole list."""
        return self.total.to_bytes(DIGEST_BYTES, 'big')

    def names(self, within: BucketRange) -> list[str]:
        """Return the names of the members in a range, sorted."""
        return sorted(
            name
            for name, entry in self._entries.items()
            if within.holds(entry.bucket)
        )

    def part_digests(self, within: BucketRange) -> bytes:
        """Return the digests of the parts of a range, joined."""
        step = within.count // PARTS
        found = [0] * PARTS
        for entry in self._entries.values():
            if within.holds(entry.bucket):
                found[(entry.bucket - within.first) // step] ^= entry.value
        return b''.join(
            (one & _PART_MASK).to_bytes(PART_DIGEST_BYTES, 'big')
            for one in found
        )


def find_bucket(name: str) -> int:
    """Return the bucket of a member."""
    return crc32(name.encode()) % BUCKETS


def _hash_record(member):
    text = f'{member.name} {member.incarnation} {member.version}'
    digest = blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big')
