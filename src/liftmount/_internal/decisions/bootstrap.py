"""Bootstrap: how a starting balancer gets the list of members.

Gossip within its byte budget is too slow when many balancers start at once,
so each requests lists: from the seeds first, then from members of its own
failure domain, which have asked the seeds as well.  A request carries the
requester's own record, which the answers to later requests include.  An
answer holds all members of the requester's domain and a few of each other
domain.
"""

from zlib import crc32

from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.members import Member

# Times since the start: at once, then when the seeds have received the
# requests of balancers that started together.
ATTEMPT_TIMES_MS = (0, 1_000, 2_000, 3_500, 5_000)
# By then a balancer and the members of its domain have each other's records.
JOIN_COMPLETE_MS = 6_000
# The first attempts ask one seed each, later ones members.
SEED_ATTEMPTS = 2
MEMBERS_PER_ATTEMPT = 2
# Members of each other domain in a list: enough that one of them is live
# while the domain is reachable.
REMOTE_MEMBERS = 4


def peers_to_ask(
    own: Member, attempt: int, seeds: tuple[Endpoint, ...], local: list[Member]
) -> list[Endpoint]:
    """Return the peers to ask in an attempt, in order of preference.

    ``answers_needed`` returns how many of them have to answer.  ``local``
    holds the known members of the own domain.  The order differs by member.
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
    """Return how many answers complete an attempt."""
    return 1 if attempt < SEED_ATTEMPTS else MEMBERS_PER_ATTEMPT


def _rotated(items, start):
    if not items:
        return []
    start %= len(items)
    return [*items[start:], *items[:start]]


def members_to_send(known: list[Member], requester: Member) -> list[Member]:
    """Return the members to list in the answer to ``requester``."""
    selected = []
    remote = {}
    for member in known:
        if member.failure_domain == requester.failure_domain:
            selected.append(member)
        elif member.reachable:
            remote.setdefault(member.failure_domain, []).append(member)
    seed = crc32(requester.name.encode())
    for members in remote.values():
        # A choice that differs by requester spreads the load.
        members.sort(key=lambda one: crc32(one.name.encode(), seed))
        selected += members[:REMOTE_MEMBERS]
    return selected
