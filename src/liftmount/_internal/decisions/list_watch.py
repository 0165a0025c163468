"""List and watch one kind of object in the store.

A list returns all objects; watches from its revision on return changes.
Each call has a cost, so changes are batched for a moment before the next
watch.  A watch without an answer does not mean that nothing has changed: it
is repeated.

While nothing changes, watches only confirm that the data is fresh.  They
wait as long as the propagation bound permits: the time within which a
change has to be in force on every balancer.
"""

from attrs import define
from attrs import Factory

from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message

# Range of the propagation bound; others are clamped to it.
MIN_BOUND_MS = 3_000
MAX_BOUND_MS = 15_000
# What is left of the bound when the last member with stale data finds that it
# has to read the store itself: covers a probe and a call, 320 ms each if the
# store is slow, and the ticks of 50 ms (TICK_MS of group) before each.
READ_MARGIN_MS = 800
# Members begin to read the store spread over this share of the bound, and no
# longer than the maximum, as all of them miss the same heartbeat.
JITTER_SHARE = 1 / 20
MAX_JITTER_MS = 400
# Delay for each level of the relay tree, as a share of the bound and up to
# the maximum: members above, late ones too, send a heartbeat by then if they
# reach the store.
LEVEL_SHARE = 1 / 12
MAX_LEVEL_MS = 600
# Levels between a member and the root for which the bound has room: 584
# members, as each has eight children (FANOUT).
MAX_LEVELS = 2
# A member stops reading the store once heartbeats are this much fresher than
# the limit.
FRESH_MARGIN_MS = 400
# A reader that has heard nothing for this share of the bound asks the store
# whether it answers, and waits for that share for the answer.
PROBE_SHARE = 1 / 6
PROBE_TIMEOUT_SHARE = 3 / 20
MAX_PROBE_TIMEOUT_MS = 1_000
# What is left of the bound when a starting member stops waiting for peers.
START_MARGIN_MS = 1_000
MIN_START_MS = 4_300
# A watch of the reader confirms the data when it ends; covers a late answer
# (WATCH_MARGIN_MS) and heartbeats down two levels of the relay tree.
# These are 700 ms, and up to 400 ms a level (HEARTBEAT_INTERVAL_MS).
CONFIRM_MARGIN_MS = 1_500
# Three heartbeats in a row are missing: the parent is gone or unreachable.
MIN_SILENT_MS = 1_300
SILENT_SHARE = 1 / 3
# Share of the bound for which changes are batched after a change.
COLLECT_SHARE = 7 / 30
# Wait of a watch that is to be answered at once.
IMMEDIATE_WAIT_MS = 1
# Keeps calls apart on a slow link, however long the last answer took.
MIN_WATCH_MS = 500
# A watch from an old revision returns each version since then.  For a feed of
# one object each version has the whole contents, and a list up to this size
# takes less time.
SHORT_LIST_BYTES = 32_768
# Wait of a watch whose feed is confirmed by answers about another one; the
# store keeps its history for longer.
DEPENDENT_WATCH_MS = 15_000
# Time for the answer of a watch to arrive after its wait.
WATCH_MARGIN_MS = 700
# Time in which a page of a list has to begin to arrive.
# It takes 4 ms, and 80 times as long if the store is slow.
LIST_TIMEOUT_MS = 1_000
# Pauses after failed calls, doubled up to the maximum and scaled by 0.5 to 1.5
# for jitter.
# A refused call costs as well.  The longest pause, 2,250 ms, has to end well
# within the 4,000 ms after the store's return in which an instance is not yet
# held to its bounds.
FIRST_RETRY_MS = 200
MAX_RETRY_MS = 1_500
# Pause between a first list and the watch that confirms it.  By then most
# starting balancers have found the reader of their domain and need no watch.
RECHECK_MS = 2_000
# Time after the start of the process by which a first list is confirmed; it
# shortens RECHECK_MS on a slow instance.
# Otherwise such an instance could serve a stale list when its bounds begin to
# hold, a fixed time after its start.
RECHECK_DEADLINE_MS = 2_600


@message
class FreshnessTimes(Message):
    """Limits in milliseconds that follow from the propagation bound.

    A watch waits for ``watch_ms``; after a change the next one begins
    ``collect_ms`` later.  A reader that has heard nothing for ``probe_ms``
    asks the store, which has to answer within ``probe_timeout_ms``.  A member
    reads the store itself when it has received no heartbeat for
    ``silent_ms``, or when its data is older than ``stale_ms``, spread over
    ``jitter_ms`` and ``level_ms`` later for each level of the relay tree,
    until the data of heartbeats is no older than ``fresh_ms``.  A member
    that has just started waits for its peers for ``start_ms``.
    """

    watch_ms: int
    collect_ms: int
    probe_ms: int
    probe_timeout_ms: int
    silent_ms: int
    stale_ms: int
    jitter_ms: int
    level_ms: int
    fresh_ms: int
    start_ms: int

    def late_ms(self, levels: int) -> int:
        """Return the age of data at which a member reads at the latest."""
        return self.stale_ms + self.jitter_ms + levels * self.level_ms


def freshness_times(bound_ms: int = MIN_BOUND_MS) -> FreshnessTimes:
    """Return the limits for a propagation bound.

    With them the data of no member gets so old that a change could come into
    force later than the bound, whichever member stops to get answers.
    """
    bound_ms = min(max(bound_ms, MIN_BOUND_MS), MAX_BOUND_MS)
    jitter_ms = min(MAX_JITTER_MS, round(bound_ms * JITTER_SHARE))
    level_ms = min(MAX_LEVEL_MS, round(bound_ms * LEVEL_SHARE))
    spread_ms = jitter_ms + MAX_LEVELS * level_ms
    stale_ms = bound_ms - READ_MARGIN_MS - spread_ms
    start_ms = max(MIN_START_MS, bound_ms - START_MARGIN_MS)
    return FreshnessTimes(
        watch_ms=start_ms - CONFIRM_MARGIN_MS,
        collect_ms=round(bound_ms * COLLECT_SHARE),
        probe_ms=round(bound_ms * PROBE_SHARE),
        probe_timeout_ms=min(
            MAX_PROBE_TIMEOUT_MS, round(bound_ms * PROBE_TIMEOUT_SHARE)
        ),
        silent_ms=max(MIN_SILENT_MS, round(bound_ms * SILENT_SHARE)),
        stale_ms=stale_ms,
        jitter_ms=jitter_ms,
        level_ms=level_ms,
        fresh_ms=stale_ms - FRESH_MARGIN_MS,
        start_ms=start_ms,
    )


@message
class Started(Message):
    """The feed starts without a list."""


@message
class ListInProgress(Message):
    """The feed starts while a list is being received."""


@message
class ListKnown(Message):
    """All objects as of ``revision`` are held, from a list or a peer.

    ``size_bytes`` is the size of the list, 0 if a peer sent the objects.
    """

    revision: int
    size_bytes: int = 0


@message
class Finished(Message):
    """The list in progress was received, as of ``revision``."""

    revision: int
    size_bytes: int = 0


@message
class Listed(Message):
    """The store listed all objects as of ``revision``."""

    revision: int
    size_bytes: int = 0


@message
class Changed(Message):
    """A watch was answered; ``count`` objects changed up to ``revision``.

    The transfer of the answer took ``lasted_ms``.
    """

    revision: int
    count: int
    lasted_ms: int = 0


@message
class HistoryGone(Message):
    """The store no longer holds the changes since the revision."""


@message
class Paused(Message):
    """Another member reads the store from now on."""


@message
class Resumed(Message):
    """Read the store again; the objects held are as of ``revision``.

    ``revision`` is None when there are none yet.  ``is_fallback`` is true
    if another member should be reading the store but sends no fresh data,
    ``is_dependent`` if answers about the primary feed confirm this one.
    """

    revision: int | None
    is_fallback: bool = False
    is_dependent: bool = False


@message
class RefreshRequested(Message):
    """Changes are needed now: call the store without a pause."""


@message
class Confirmed(Message):
    """Answers about another feed show no change up to ``revision``."""

    revision: int


@message
class CallFailed(Message):
    """A call got no usable answer; ``cause`` says why."""

    cause: str


@message
class Cancel(Message):
    """Cancel the call that is scheduled or in progress."""


@message
class Finish(Message):
    """Receive the rest of the list in progress."""


@message
class List(Message):
    """List all objects after a pause.

    If ``may_lag``, the answer may come from a replica that lags.
    """

    after_ms: float
    may_lag: bool


@message
class Watch(Message):
    """Ask, after a pause, for the changes since ``revision``."""

    after_ms: float
    revision: int
    wait_ms: int


@message
class DependencyLost(Message):
    """Calls to the store have begun to fail."""

    cause: str


@message
class DependencyRegained(Message):
    """The store answers again, after a number of failed calls."""

    failures: int


def recheck_ms(process_age_ms: int) -> int:
    """Return how long a balancer waits before it confirms a first list."""
    return min(RECHECK_MS, max(0, RECHECK_DEADLINE_MS - process_age_ms))


@define
class ListWatchState:
    """State of the feed of one kind of object.

    ``revision`` is None before the first list.  ``is_calling`` is true while
    a call is scheduled or in progress, ``is_paused`` while another member
    reads the store, and ``is_dependent`` while answers about the primary
    feed confirm this one.  ``recheck_ms`` is the pause before a first list
    is confirmed, ``jitter`` a share from 0 to 1 that differs by member.  If
    ``is_one_object``, each change carries the whole contents;
    ``list_bytes`` is the size of the last list, 0 if unknown.
    """

    revision: int | None = None
    recheck_ms: int = RECHECK_MS
    is_one_object: bool = False
    list_bytes: int = 0
    failures: int = 0
    must_list: bool = True
    jitter: float = 0.5
    times: FreshnessTimes = Factory(freshness_times)
    is_calling: bool = False
    is_paused: bool = False
    is_fallback: bool = False
    is_dependent: bool = False


def decide(state: ListWatchState, event) -> list:
    """Return reports, then Cancel and the next call to the store, if any."""
    match event:
        case Paused():
            return _pause(state)
        case Resumed():
            return _resume(state, event)
        case RefreshRequested():
            return _refresh(state)
        case Confirmed():
            return _confirm(state, event.revision)
        case ListKnown():
            return _skip_list(state, event)
    *reports, call = _on_call_end(state, event)
    return [*reports, *_schedule(state, call)]


def _schedule(state, call):
    """Return the call, or nothing while paused."""
    state.is_calling = not state.is_paused
    return [call] if state.is_calling else []


def _pause(state):
    state.is_paused = True
    state.is_dependent = False
    if _is_first_list_pending(state):
        # Those members that read the store may have no data yet, and the part
        # of the list that was received would be lost.
        return []
    state.is_calling = False
    return [Cancel()]


def _is_first_list_pending(state):
    return state.is_calling and state.revision is None


def _resume(state, event):
    state.is_fallback = event.is_fallback
    if not state.is_paused:
        return []
    state.is_paused = False
    if _is_first_list_pending(state):
        return []
    if event.revision is not None:
        state.revision = max(state.revision or 0, event.revision)
        state.must_list = False
    actions = _call_now(state)
    state.is_dependent = event.is_dependent
    return actions


def _confirm(state, revision):
    if state.is_paused or state.must_list or state.revision is None:
        return []
    state.revision = max(state.revision, revision)
    state.is_dependent = True
    if not state.failures:
        # The watch in progress continues, and returns changes at once.
        return []
    reports = _report_regained(state)
    return [*reports, Cancel(), *_schedule(state, _watch(state, 0))]


def _refresh(state):
    if state.is_paused or (state.must_list and state.is_calling):
        # The list in progress brings the same; restarting it for each waiting
        # segment would keep it from ending on a slow link.
        return []
    return _call_now(state)


def _call_now(state):
    state.is_dependent = False
    if state.must_list:
        call = List(0, may_lag=state.revision is None)
    else:
        call = _catch_up(state, 0)
    return [Cancel(), *_schedule(state, call)]


def _catch_up(state, pause_ms):
    """Return a call that is answered at once and confirms the data."""
    if state.is_one_object and 0 < state.list_bytes <= SHORT_LIST_BYTES:
        return List(pause_ms, may_lag=False)
    return Watch(pause_ms, state.revision, IMMEDIATE_WAIT_MS)


def _skip_list(state, event):
    """Use the objects held already in place of a list in progress."""
    if state.revision is not None:
        return []
    state.list_bytes = event.size_bytes
    return [Cancel(), *_schedule(state, _first_watch(state, event.revision))]


def _first_watch(state, revision):
    state.must_list = False
    state.revision = revision
    # Answered at once: after a full wait, all members would have begun to
    # read the store before the reader's first confirmation.
    return Watch(state.recheck_ms, revision, IMMEDIATE_WAIT_MS)


def _on_call_end(state, event):
    """Return reports on the end of a call, and the next call."""
    match event:
        case Started():
            return [List(0, may_lag=True)]
        case ListInProgress():
            return [Finish()]
        case Finished():
            actions = _report_regained(state)
            state.list_bytes = event.size_bytes
            return [*actions, _first_watch(state, event.revision)]
        case Listed():
            actions = _report_regained(state)
            state.list_bytes = event.size_bytes
            state.must_list = False
            is_first = state.revision is None
            # A list that lags must not revert to an older revision.
            state.revision = max(state.revision or 0, event.revision)
            if is_first:
                # It may have lagged: only a watch confirms it.
                return [*actions, Watch(0, state.revision, IMMEDIATE_WAIT_MS)]
            return [*actions, _watch(state, 0)]
        case Changed():
            actions = _report_regained(state)
            state.revision = max(state.revision, event.revision)
            pause_ms = state.times.collect_ms if event.count else 0
            return [*actions, _watch(state, pause_ms, event.lasted_ms)]
        case HistoryGone():
            state.must_list = True
            return [*_report_regained(state), List(0, may_lag=False)]
        case CallFailed():
            return _on_failure(state, event.cause)
    raise TypeError(f'unknown event {event!r}')


def _watch(state, pause_ms, lasted_ms=0):
    """Return a watch that ends ``watch_ms`` after the last confirmation.

    The last answer confirmed the data as of its first byte, ``lasted_ms``
    ago.  A full wait after the pause would let the data of the whole domain
    become stale after a change.
    """
    left_ms = state.times.watch_ms - pause_ms - lasted_ms
    # If the connection fails silently, a change is found after this wait and
    # WATCH_MARGIN_MS.
    wait_ms = max(MIN_WATCH_MS, left_ms)
    if state.is_dependent:
        wait_ms = DEPENDENT_WATCH_MS
    return Watch(pause_ms, state.revision, wait_ms)


def _report_regained(state):
    if not state.failures:
        return []
    failures, state.failures = state.failures, 0
    return [DependencyRegained(failures)]


def _on_failure(state, cause):
    state.failures += 1
    first_ms = FIRST_RETRY_MS
    if state.is_fallback and state.revision is not None:
        # The store is down for all members, or this balancer is cut off.
        first_ms = MAX_RETRY_MS
    doubled_ms = first_ms * 2 ** min(state.failures - 1, 10)
    pause_ms = min(doubled_ms, MAX_RETRY_MS) * (0.5 + state.jitter)
    if state.is_dependent:
        # The primary feed notices when the store is back.
        pause_ms = state.times.watch_ms
    reports = [DependencyLost(cause)] if state.failures == 1 else []
    if state.must_list:
        return [*reports, List(pause_ms, may_lag=state.revision is None)]
    # A call that is answered at once confirms the data; otherwise it would
    # become stale, and other members would read the store themselves.
    return [*reports, _catch_up(state, pause_ms)]
