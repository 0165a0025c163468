"""The relay tree of a failure domain.

The root is the member that should hold the domain's lease.  Only the root
reads the store; other members get changes from their parent.  Each member
derives the tree from the membership, without an agreement.
"""

from attrs import define
from attrs import Factory

from liftmount._internal.models.members import Member

FANOUT = 8


def relay_order(members: list[Member]) -> list[str]:
    """Return the members of one domain, the root first.

    Members that reach the platform and are not leaving come first, the
    longest running first, so that a restart seldom changes the root.
    """
    present = [one for one in members if one.reachable]
    return [
        one.name
        for one in sorted(
            present,
            key=lambda one: (
                one.leaving,
                not one.has_platform,
                # By name alone, each restart of an early name would change the
                # root, which costs calls to the store.
                one.incarnation,
                one.name,
            ),
        )
    ]


def find_parent(order: list[str], name: str) -> str | None:
    """Return the parent of a member; None for the root or an unknown one."""
    if name not in order:
        return None
    index = order.index(name)
    if index == 0:
        return None
    return order[(index - 1) // FANOUT]


def count_between(order: list[str], name: str) -> int:
    """Return how many members are between a member and the root."""
    between = -1
    parent = find_parent(order, name)
    while parent is not None:
        between += 1
        parent = find_parent(order, parent)
    return max(0, between)


@define
class SubtreeReports:
    """Configuration digests in the subtree of one member, by member name.

    Each child reports for its own subtree.  A child's report on this member,
    as after a change of the root, is out of date and ignored.
    """

    name: str
    digest: bytes = b''
    _children: dict[str, dict[str, bytes]] = Factory(dict)

    def note_child(self, child: str, digests: dict[str, bytes]) -> None:
        """Replace the report of a child."""
        self._children[child] = dict(digests)

    def drop_child(self, child: str) -> None:
        """Drop the report of a former child."""
        self._children.pop(child, None)

    def combined(self) -> dict[str, bytes]:
        """Return the report of the whole subtree."""
        found = {}
        for digests in self._children.values():
            found.update(digests)
        # A child's report on itself is newer than that of a sibling.
        for child, digests in self._children.items():
            if child in digests:
                found[child] = digests[child]
        found[self.name] = self.digest
        return found
