"""How a newcomer learns of the others, however many start at once.

Gossip alone, within its byte budget, is too slow for that, so a newcomer
asks for lists: the seeds first, then members of its own failure domain,
which have asked the seeds as well.  Whoever asks tells its own record, so
that those who ask later hear of it.  The answer holds the asker's own
domain and a few members of each other one: what a balancer needs all of,
and what it needs some of.
"""

from zlib import crc32

from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.members import Member

# When a newcomer asks: at once, when the seeds have heard of those that
# started with it, and while these tell each other.
ATTEMPT_TIMES_MS = (0, 1_000, 2_000, 3_500, 5_000)
# By then a newcomer has heard of all members of its domain, and they of it.
JOIN_COMPLETE_MS = 6_000
# The first of these turns go to one seed each, later ones to two members:
# in simulated starts of 91 to 700 balancers all know their domain then.
SEED_ATTEMPTS = 2
MEMBERS_PER_ATTEMPT = 2
# Members of each other domain that a list holds: enough that one of them
# is alive as long as the domain is in reach.
REMOTE_MEMBERS = 4


def peers_to_ask(
    own: Member, attempt: int, seeds: tuple[Endpoint, ...], local: list[Member]
) -> list[Endpoint]:
    """Return whom to ask in a turn, in the order in which to try.

    ``answers_needed`` tells how many of them have to answer.  ``local`` are
    the known members of the own domain.  Newcomers begin at different
    seeds, and at different members.
    """
    others = sorted(
        {one.peer for one in local if one.peer != own.peer}, key=str
    )
    seeds = [one for one in seeds if one != own.peer]
    start = crc32(own.name.encode()) + attempt
    if attempt < SEED_ATTEMPTS or not others:
        return _rotated(seeds, start)
    return [
        *_rotated(others, start)[:MEMBERS_PER_ATTEMPT],
        *_rotated(seeds, start),
    ]


def answers_needed(attempt: int) -> int:
    """Return how many answers end a turn."""
    return 1 if attempt < SEED_ATTEMPTS else MEMBERS_PER_ATTEMPT


def _rotated(items, start):
    if not items:
        return []
    start %= len(items)
    return [*items[start:], *items[:start]]


def members_to_send(known: list[Member], requester: Member) -> list[Member]:
    """Return the members that a newcomer is told of."""
    selected = []
    remote = {}
    for member in known:
        if member.failure_domain == requester.failure_domain:
            selected.append(member)
        elif member.reachable:
            remote.setdefault(member.failure_domain, []).append(member)
    seed = crc32(requester.name.encode())
    for members in remote.values():
        # Each asker is told of others, so that none is known to all.
        members.sort(key=lambda one: crc32(one.name.encode(), seed))
        selected += members[:REMOTE_MEMBERS]
    return selected
