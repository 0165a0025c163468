"""Records of members: which one replaces which, and how wrong ones end."""

from liftmount._internal.decisions.gossip import queue_gossip
from liftmount._internal.decisions.membership_state import MemberChanged
from liftmount._internal.decisions.membership_state import MembershipState
from liftmount._internal.decisions.membership_state import Refuted
from liftmount._internal.models.members import Member
from liftmount._internal.models.members import MemberStatus
from liftmount._internal.models.records import evolve


def announce(state: MembershipState, **changes) -> None:
    """Change this member's own record and gossip it."""
    version = state.own.version + 1
    state.store_own(evolve(state.own, version=version, **changes))
    queue_gossip(state, state.own.name)


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
    state.store(member, now_ms)
    if member.status is not MemberStatus.SUSPECT:
        state.confirming.pop(member.name, None)
    if member.status is MemberStatus.ALIVE:
        state.doubtful.discard(member.name)
    else:
        state.doubtful.add(member.name)
    queue_gossip(state, member.name)
    return [MemberChanged(member)]


def _refute(state, member):
    """Refute a wrong record of this member by a newer version."""
    if member.incarnation > state.own.incarnation:
        # From an earlier process of this name, whose clock was ahead.
        incarnation = member.incarnation + 1
        state.store_own(evolve(state.own, incarnation=incarnation))
        queue_gossip(state, state.own.name)
        return []
    if member.incarnation != state.own.incarnation:
        return []
    if not member.newer_than(state.own):
        return []
    state.store_own(evolve(state.own, version=member.version + 1))
    queue_gossip(state, state.own.name)
    return [Refuted(member.status, state.own.version)]
