"""Which member of a failure domain reads the store.

The root of the relay tree does. Another member reads in its place if it gets
no heartbeats, or only such with stale data, and the store answers it.
"""

from liftmount._internal.decisions.list_watch import RECHECK_DEADLINE_MS
from liftmount._internal.decisions.list_watch import START_MARGIN_MS
from liftmount._internal.decisions.relay import count_between
from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message

# A starting member requests this many heartbeats before it reads the store:
# the first request is answered by the time of the second.
REQUESTS_BEFORE_READ = 2
# Members that receive no heartbeat begin to read the store spread over this
# time, as all of them miss the same one.
READ_JITTER_MS = 400
# For so many probes that are due an answer shows that the store answers.
ALIVE_PROBES = 3
# Until a starting member has received the membership it takes itself for the
# root, and would read the store needlessly.
STARTUP_GRACE_MS = 1_500

# Reasons for which a member other than the root reads the store.
NOT_CONFIRMED = 'not proven since its start'
NO_HEARTBEAT = 'no beat'
STALE_HEARTBEATS = 'old beats'
# Reason for which a member does not read it in their place.
STORE_SILENT = 'store silent'
FALLBACK_REASONS = (NO_HEARTBEAT, STALE_HEARTBEATS)


@message
class Choice(Message):
    """Whether a member reads the store, and the reason.

    With ``must_ask`` it has to find out first whether the store answers.
    """

    is_reader: bool
    reason: str
    must_ask: bool = False


def choose_reading(state, now_ms: int) -> Choice:
    """Return whether a member reads the store; its state is not changed.

    ``state`` is a DisseminationState.
    """
    choice = _should_read(state, now_ms)
    if choice.reason in FALLBACK_REASONS and not _answers_here(state, now_ms):
        # Whether the store answers is cheaper to ask than what it holds.
        return Choice(False, STORE_SILENT, must_ask=True)
    return choice


def _answers_here(state, now_ms):
    """Return whether the store answered this balancer of late."""
    limit_ms = ALIVE_PROBES * state.times.probe_ms
    return now_ms - state.alive_ms <= limit_ms


def _should_read(state, now_ms):
    """Return whether a member reads the store if that answers it, and why."""
    has_all = (
        state.targets_revision
        and state.routes_version
        and state.evacuations.known
    )
    is_new = now_ms - state.started_ms < state.times.start_ms
    if has_all and is_new and _is_confirmation_overdue(state, now_ms):
        return Choice(True, NOT_CONFIRMED)
    if has_all and now_ms - state.started_ms < STARTUP_GRACE_MS:
        return Choice(False, 'started of late')
    if state.is_root:
        return Choice(True, 'root')
    if not has_all and now_ms - state.last_received_ms > state.times.silent_ms:
        # A member that receives heartbeats gets the data from the root.
        return Choice(True, 'nothing known')
    if is_new:
        # Other members may not know the membership yet.
        return Choice(False, 'started of late')
    missed_ms = now_ms - state.last_received_ms - state.times.silent_ms
    if missed_ms > state.jitter * READ_JITTER_MS:
        return Choice(True, NO_HEARTBEAT)
    pause_ms = state.jitter * state.times.jitter_ms
    late_ms = now_ms - state.last_confirmed_ms() - state.times.stale_ms
    if late_ms > pause_ms:
        levels = count_between(state.order, state.name)
        if late_ms > pause_ms + levels * state.times.level_ms:
            return Choice(True, STALE_HEARTBEATS)
    heartbeat_age_ms = now_ms - state.confirmed_ms
    if state.is_reader and heartbeat_age_ms > state.times.fresh_ms:
        return Choice(True, STALE_HEARTBEATS)
    return Choice(False, 'fresh beats')


def _is_confirmation_overdue(state, now_ms):
    """Return whether a starting member has served its first lists too long.

    They may lag by seconds, and a slow start uses up much of the time within
    which a change has to be in force.
    """
    if state.last_confirmed_ms() >= state.process_started_ms:
        return False
    if now_ms - state.stale_peer_ms <= state.times.silent_ms:
        return False
    age_ms = now_ms - state.process_started_ms
    if state.is_reader:
        # The call that confirms them is in progress.
        return age_ms > RECHECK_DEADLINE_MS
    if state.requests_sent < REQUESTS_BEFORE_READ:
        # The peers asked may hold fresher data.
        return False
    limit_ms = state.times.start_ms - START_MARGIN_MS
    return age_ms > limit_ms + state.jitter * READ_JITTER_MS
