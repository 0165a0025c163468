"""Ownership of pools by rendezvous hashing over the live members.

The owner opens all flows of a pool, so it knows the pool's load.  If two
balancers disagree on the owner for a while, flows are placed less evenly;
correctness does not depend on it.
"""

from hashlib import blake2b

from attrs import define
from attrs import Factory

SCORE_BYTES = 8


def score(key: str, member: str) -> int:
    """Return the rendezvous score of ``member`` for ``key``."""
    text = f'{key}|{member}'.encode()
    digest = blake2b(text, digest_size=SCORE_BYTES).digest()
    return int.from_bytes(digest, 'big')


def rank(key: str, members) -> list[str]:
    """Return the members in rendezvous order, highest score first."""
    return sorted(members, key=lambda member: score(key, member), reverse=True)


@define
class Ownership:
    """The owner of each pool, updated incrementally.

    ``domains`` maps each eligible member to its failure domain.  Adding a
    member costs a few hashes per pool looked up so far; removing one costs
    a hash per member for each pool that it owned, at the next lookup.
    """

    domains: dict[str, str] = Factory(dict)
    _owners: dict = Factory(dict)

    def add(self, member: str, failure_domain: str) -> None:
        """Make ``member`` eligible."""
        if self.domains.get(member) == failure_domain:
            return
        self.remove(member)
        self.domains[member] = failure_domain
        for pool, (owner, wanted) in list(self._owners.items()):
            if self._outranks(pool, member, owner, wanted):
                self._owners[pool] = (member, wanted)

    def remove(self, member: str) -> None:
        """Make ``member`` no longer eligible."""
        if self.domains.pop(member, None) is None:
            return
        for pool, (owner, _wanted) in list(self._owners.items()):
            if owner == member:
                del self._owners[pool]

    def update(self, eligible: dict[str, str]) -> None:
        """Make exactly the members of ``eligible`` eligible."""
        for member in set(self.domains) - set(eligible):
            self.remove(member)
        for member, failure_domain in eligible.items():
            self.add(member, failure_domain)

    def owner(self, pool: str, wanted: frozenset[str]) -> str | None:
        """Return the owner of a pool with targets in ``wanted`` domains.

        Members of these domains are preferred, so that the owner is close
        to the targets.  Return None if no member is eligible.
        """
        known = self._owners.get(pool)
        if known is not None and known[1] == wanted:
            return known[0]
        if not self.domains:
            return None
        found = max(
            self.domains,
            key=lambda member: self._sort_key(pool, member, wanted),
        )
        self._owners[pool] = (found, wanted)
        return found

    def _sort_key(self, pool, member, wanted):
        return (self.domains[member] in wanted, score(pool, member))

    def _outranks(self, pool, member, owner, wanted):
        if owner not in self.domains:
            return True
        challenger = self._sort_key(pool, member, wanted)
        return challenger > self._sort_key(pool, owner, wanted)
