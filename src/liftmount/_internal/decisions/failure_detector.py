"""Failure detection: probes, suspicions and deaths of members.

Each period a member pings one other.  Without an answer it pings it again
and asks two more members to; then it suspects the member.  A suspicion that
another member reports ends later than an own one, as the member that began it
keeps pinging the suspect, and so hears of a refutation first ("Lifeguard",
Dadgar, Phillips and Currey, DSN-W 2018: who is slow doubts itself first).
"""

from liftmount._internal.decisions.gossip import introduce
from liftmount._internal.decisions.gossip import refill_credit
from liftmount._internal.decisions.gossip import send
from liftmount._internal.decisions.member_records import learn
from liftmount._internal.decisions.membership_state import MembershipState
from liftmount._internal.decisions.membership_state import Probe
from liftmount._internal.decisions.membership_state import Stalled
from liftmount._internal.models.members import Member
from liftmount._internal.models.members import MemberStatus
from liftmount._internal.models.membership_messages import JOIN
from liftmount._internal.models.membership_messages import PING
from liftmount._internal.models.membership_messages import PING_REQUEST

INDIRECT_PROBES = 2
# Pings of one probe, the first included.
MAX_ATTEMPTS = 3
# Dead members are probed every few periods, to notice healed partitions.
DEAD_PROBE_PERIODS = 4
DEAD_KEPT_MS = 600_000
# A suspicion that others report ends after so many times the own time.
REPORTED_FACTOR = 1.5
# Suspects that one tick pings again, as a whole domain may be cut off.
CONFIRMED_PER_TICK = 4
# Time between two ticks from which this process counts as stalled.
STALL_MS = 200


def tick(state: MembershipState, now_ms: int) -> list:
    """Advance probes and suspicions; return the actions."""
    refill_credit(state, now_ms)
    actions = _excuse_stall(state, now_ms)
    actions += _check_probes(state, now_ms)
    actions += _check_suspects(state, now_ms)
    if now_ms >= state.next_period_ms:
        state.next_period_ms = now_ms + state.times.period_ms
        state.periods += 1
        actions += _start_period(state, now_ms)
    return actions


def doubted_names(member: Member | None) -> tuple[str, ...]:
    """Return the name of a member that is not alive, for its own message.

    A member that gets its own record can refute it.
    """
    if member is None or member.status is MemberStatus.ALIVE:
        return ()
    return (member.name,)


def _excuse_stall(state, now_ms):
    """Blame nobody for the time in which this process did not run."""
    stalled_ms = now_ms - state.ticked_ms
    state.ticked_ms = now_ms
    if stalled_ms < STALL_MS:
        return []
    for probe in state.probes.values():
        probe.sent_ms += stalled_ms
    for name in state.doubtful:
        if state.members[name].status is MemberStatus.SUSPECT:
            state.changed_ms[name] += stalled_ms
    return [Stalled(stalled_ms)]


def _start_period(state, now_ms):
    actions = []
    target = _next_target(state)
    if target is not None:
        sequence = state.next_sequence()
        state.probes[sequence] = Probe(target.name, now_ms)
        actions += _ping(state, sequence, target)
    if state.periods % DEAD_PROBE_PERIODS == 0 or target is None:
        actions += _probe_unreachable(state)
    return actions


def _ping(state, sequence, member):
    return send(
        state, PING, sequence, member.peer, first=doubted_names(member)
    )


def _probe_unreachable(state):
    """Ping a dead member or an unknown seed that may be back."""
    doubtful = [state.members[name] for name in sorted(state.doubtful)]
    candidates = [
        (one.peer, one) for one in doubtful if one.status is MemberStatus.DEAD
    ]
    known = {one.peer for one in state.members.values()}
    candidates += [(one, None) for one in state.seeds if one not in known]
    if not candidates:
        return []
    destination, member = candidates[state.random(len(candidates))]
    extra = JOIN if not state.reachable() else ''
    return introduce(state, destination, extra, doubted_names(member))


def _next_target(state):
    while state.order:
        member = state.members.get(state.order.pop())
        if member is not None and member.reachable:
            return member
    names = [one.name for one in state.reachable()]
    if not names:
        return None
    for index in range(len(names) - 1, 0, -1):
        other = state.random(index + 1)
        names[index], names[other] = names[other], names[index]
    state.order = names
    return state.members[state.order.pop()]


def _check_probes(state, now_ms):
    actions = []
    for sequence, probe in list(state.probes.items()):
        waited_ms = now_ms - probe.sent_ms
        if waited_ms >= state.times.period_ms:
            del state.probes[sequence]
            actions += _suspect(state, probe.target, now_ms)
        elif (
            probe.attempts < MAX_ATTEMPTS
            and waited_ms >= probe.attempts * state.times.probe_timeout_ms
        ):
            actions += _retry_probe(state, sequence, probe)
    return actions


def _retry_probe(state, sequence, probe):
    """Ping a silent member again; at the first time ask others to."""
    member = state.members.get(probe.target)
    if member is None:
        return []
    probe.attempts += 1
    actions = _ping(state, sequence, member)
    if probe.attempts == 2:
        actions += _request_indirect_probes(state, sequence, member)
    return actions


def _request_indirect_probes(state, sequence, member, count=INDIRECT_PROBES):
    others = [one for one in state.reachable() if one.name != member.name]
    actions = []
    for _ in range(min(count, len(others))):
        helper = others.pop(state.random(len(others)))
        actions += send(
            state,
            PING_REQUEST,
            sequence,
            helper.peer,
            extra=str(member.peer),
            first=doubted_names(member),
        )
    return actions


def _suspect(state, name, now_ms):
    """Suspect a member, and ping it on until the suspicion ends."""
    member = state.members.get(name)
    if member is None or not member.reachable:
        return []
    state.confirming.setdefault(name, now_ms)
    if member.status is MemberStatus.SUSPECT:
        return []
    return learn(state, member.with_status(MemberStatus.SUSPECT), now_ms)


def _check_suspects(state, now_ms):
    actions = []
    for name in list(state.doubtful):
        member = state.members[name]
        age_ms = now_ms - state.changed_ms[name]
        if member.status is MemberStatus.SUSPECT:
            if age_ms >= _suspicion_ms(state, name):
                dead = member.with_status(MemberStatus.DEAD)
                actions += learn(state, dead, now_ms)
        elif age_ms >= DEAD_KEPT_MS:
            state.forget(name)
    return [*actions, *_confirm_suspects(state, now_ms)]


def _suspicion_ms(state, name):
    if name in state.confirming:
        return state.times.suspicion_ms
    return REPORTED_FACTOR * state.times.suspicion_ms


def _confirm_suspects(state, now_ms):
    """Ping own suspects again, so that a living one refutes in time."""
    interval_ms = 2 * state.times.probe_timeout_ms
    due = [name for name, at_ms in state.confirming.items() if now_ms >= at_ms]
    actions = []
    for name in due[:CONFIRMED_PER_TICK]:
        member = state.members.get(name)
        if member is None or member.status is not MemberStatus.SUSPECT:
            del state.confirming[name]
            continue
        state.confirming[name] = now_ms + interval_ms
        sequence = state.next_sequence()
        actions += _ping(state, sequence, member)
        actions += _request_indirect_probes(state, sequence, member, 1)
    return actions
