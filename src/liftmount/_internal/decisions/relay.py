"""The relay tree of a failure domain.

The root is the member that should hold the domain's lease.  It alone
reads the platform; the others get changes from their parent.  The tree is
worked out from membership alone, so no one has to agree on it.
"""

from liftmount._internal.models.members import Member

FANOUT = 8


def relay_order(members: list[Member]) -> list[str]:
    """Return the members of one domain, the root first.

    Those that reach the platform and do not leave come first, by name.
    """
    present = [one for one in members if one.reachable]
    return [
        one.name
        for one in sorted(
            present,
            key=lambda one: (one.leaving, not one.has_platform, one.name),
        )
    ]


def find_parent(order: list[str], name: str) -> str | None:
    """Return the parent of a member, or None for the root."""
    if name not in order:
        return None
    index = order.index(name)
    if index == 0:
        return None
    return order[(index - 1) // FANOUT]
