"""How one kind of object in the store is followed: lists and watches.

A list gives the first picture; watches from its revision on tell what
changes.  Each call costs, an answered watch too, so changes are collected
for a moment before the next watch.  No answer is never taken for "nothing
has changed": the same watch is asked again.

Proofs of freshness are most calls of a fleet in which nothing happens, so
they come as seldom as the time allows in which a change has to be in force
on every balancer.
"""

from attrs import define
from attrs import Factory

from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message

# The shortest and the longest time from a change to when it has to be in
# force that is told apart.
MIN_BOUND_MS = 3_000
MAX_BOUND_MS = 15_000
# What is left of the bound when a member that hears old beats begins to read
# the store itself: beginning is spread over 0.4 s, and a call takes 0.3 s
# when the store is slow.
READ_MARGIN_MS = 1_000
# A reader's watch proves freshness when it ends; its answer may be 700 ms
# late, and a beat takes up to 400 ms to get to each level of the tree.
CONFIRM_MARGIN_MS = 1_500
# Reading by oneself ends only when beats are clearly fresher.
FRESH_MARGIN_MS = 600
MIN_STALE_MS = 4_300
# Three beats in a row are missing: the parent is gone, or the way to it.
MIN_SILENT_MS = 1_300
SILENT_SHARE = 1 / 3
# A change that comes soon after another one waits for the next watch.
COLLECT_SHARE = 7 / 30
# The first watch after a pause or a failure asks for what is known by now.
IMMEDIATE_WAIT_MS = 1
# No watch is shorter, however long the last answer took to arrive: on a slow
# link calls would follow each other without a pause.
MIN_WATCH_MS = 500
# A watch from an old revision brings each version since.  Where each holds
# all that a list does, a list up to this size is had sooner: in 0.13 s over
# a link of 2 Mbit/s.
SHORT_LIST_BYTES = 32_768
# How long a watch waits whose freshness other answers prove; the store keeps
# its history for longer than that.
DEPENDENT_WATCH_MS = 15_000
# How much later than its wait the answer of a watch may come.
WATCH_MARGIN_MS = 700
# How soon a page of a list has to begin to arrive: it does in 4 ms when the
# store is well, and in 80 times as long when it is slow.
LIST_TIMEOUT_MS = 1_000
# Waits after failed calls; each call costs, also a refused one.  The
# longest one, half as long again for some, lies well within the 4,000 ms
# after the store's return in which an instance is not yet held to its bounds.
FIRST_RETRY_MS = 200
MAX_RETRY_MS = 1_500
# A balancer that starts has read the lists; by then it mostly knows who of
# its domain reads the store for all, and need not watch itself.  Who does
# is answered at once, or all members would begin to read before its first
# proof.
RECHECK_MS = 2_000
# How long after the start of its process a balancer proves at the latest what
# it read at first: on a small instance, where all takes longer, RECHECK_MS
# would end as late as its bounds begin to hold.
RECHECK_DEADLINE_MS = 2_600


@message
class FreshnessTimes(Message):
    """Limits in milliseconds.

    A watch waits for ``watch_ms``; after a change the next one begins
    ``collect_ms`` later.  A member reads the store itself when it has heard
    no beat for ``silent_ms``, or only knowledge older than ``stale_ms``,
    until beats bring knowledge no older than ``fresh_ms``.
    """

    watch_ms: int
    collect_ms: int
    silent_ms: int
    stale_ms: int
    fresh_ms: int


def freshness_times(bound_ms: int = MIN_BOUND_MS) -> FreshnessTimes:
    """Return the limits for a time from a change to its being in force."""
    bound_ms = min(max(bound_ms, MIN_BOUND_MS), MAX_BOUND_MS)
    stale_ms = max(MIN_STALE_MS, bound_ms - READ_MARGIN_MS)
    return FreshnessTimes(
        watch_ms=stale_ms - CONFIRM_MARGIN_MS,
        collect_ms=round(bound_ms * COLLECT_SHARE),
        silent_ms=max(MIN_SILENT_MS, round(bound_ms * SILENT_SHARE)),
        stale_ms=stale_ms,
        fresh_ms=stale_ms - FRESH_MARGIN_MS,
    )


@message
class Started(Message):
    """Begin to follow."""


@message
class ListInProgress(Message):
    """A list was asked for before, and is still under way."""


@message
class ListKnown(Message):
    """A list as of ``revision`` was read before, or a peer told it.

    ``size_bytes`` is what the list took, 0 if a peer told it.
    """

    revision: int
    size_bytes: int = 0


@message
class Finished(Message):
    """The list that was begun before is there, as of ``revision``."""

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

    The answer took ``lasted_ms`` to arrive.
    """

    revision: int
    count: int
    lasted_ms: int = 0


@message
class HistoryGone(Message):
    """The store no longer tells what changed since the revision."""


@message
class Paused(Message):
    """Somebody else follows the store for us from now on."""


@message
class Resumed(Message):
    """Follow the store again; what is known is as of ``revision``.

    ``revision`` is None when nothing is known yet.  ``is_fallback`` tells
    that another one should follow it, but brings nothing, ``is_dependent``
    that answers about other kinds will prove it fresh.
    """

    revision: int | None
    is_fallback: bool = False
    is_dependent: bool = False


@message
class RefreshRequested(Message):
    """Somebody waits for news: don't wait for more to collect."""


@message
class Confirmed(Message):
    """Other answers prove that nothing changed up to ``revision``."""

    revision: int


@message
class CallFailed(Message):
    """A call got no usable answer; ``cause`` says how it failed."""

    cause: str


@message
class Cancel(Message):
    """Give up the call that is planned or under way."""


@message
class Finish(Message):
    """Receive the rest of the list that is under way."""


@message
class List(Message):
    """List all objects after a pause; a lagging answer is good enough."""

    after_ms: float
    may_lag: bool


@message
class Watch(Message):
    """Ask after a pause for what changed since ``revision``."""

    after_ms: float
    revision: int
    wait_ms: int


@message
class DependencyLost(Message):
    """The store cannot be read any more."""

    cause: str


@message
class DependencyRegained(Message):
    """The store can be read again, after some calls failed."""

    failures: int


def recheck_ms(process_age_ms: int) -> int:
    """Return how long a balancer waits before it proves its first lists."""
    return min(RECHECK_MS, max(0, RECHECK_DEADLINE_MS - process_age_ms))


@define
class ListWatchState:
    """``revision`` is None before the first list.

    ``is_calling`` tells whether a call is planned or under way, and
    ``is_paused`` whether somebody else follows the store.  While it
    ``is_dependent``, answers about other kinds prove it fresh.  ``recheck_ms``
    is how long after a first list it is proven.  Of a kind
    ``is_one_object``, each change tells the whole list anew, which took
    ``list_bytes`` when it was read last, 0 if that is not known.
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
    """Return what to report, and the next call to the store, last."""
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
    """Make a call, unless somebody else follows the store."""
    state.is_calling = not state.is_paused
    return [call] if state.is_calling else []


def _pause(state):
    state.is_paused = True
    state.is_dependent = False
    if _is_first_list_pending(state):
        # Those who read for us may have nothing yet, and what has arrived
        # would be lost.
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
        # The watch that waits goes on, and hears of news at once.
        return []
    reports = _report_regained(state)
    return [*reports, Cancel(), *_schedule(state, _watch(state, 0))]


def _refresh(state):
    if state.is_paused or (state.must_list and state.is_calling):
        # The list under way tells it all.  ListInProgress anew whenever a segment
        # waits for a target, it would never end on a slow link.
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
    """Return a call that is answered at once, and shows that all is known."""
    if state.is_one_object and 0 < state.list_bytes <= SHORT_LIST_BYTES:
        return List(pause_ms, may_lag=False)
    return Watch(pause_ms, state.revision, IMMEDIATE_WAIT_MS)


def _skip_list(state, event):
    """Take over that a list is known, in place of one under way."""
    if state.revision is not None:
        return []
    state.list_bytes = event.size_bytes
    return [Cancel(), *_schedule(state, _first_watch(state, event.revision))]


def _first_watch(state, revision):
    state.must_list = False
    state.revision = revision
    return Watch(state.recheck_ms, revision, IMMEDIATE_WAIT_MS)


def _on_call_end(state, event):
    """Return what to report of a call's end, and what to call next."""
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
            # A list that lags must not bring changes back that are known.
            state.revision = max(state.revision or 0, event.revision)
            if is_first:
                # It may have lagged, and proves nothing before a watch does.
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
    """Return a watch that ends a fixed time after the last proof.

    The proof is as old as the beginning of the last answer.  With a whole
    wait after the pause there would be no proof for so long after a change
    that all members of a domain began to read the store.
    """
    left_ms = state.times.watch_ms - pause_ms - lasted_ms
    # A change hidden by a connection that fell silent is found after the
    # wait and the margin, while no instance is held to its bounds yet.
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
        # The store is away for all, or this balancer alone is cut off.
        first_ms = MAX_RETRY_MS
    doubled_ms = first_ms * 2 ** min(state.failures - 1, 10)
    pause_ms = min(doubled_ms, MAX_RETRY_MS) * (0.5 + state.jitter)
    if state.is_dependent:
        # The kind that is asked for proofs tells when the store is back.
        pause_ms = state.times.watch_ms
    lost = [DependencyLost(cause)] if state.failures == 1 else []
    if state.must_list:
        return [*lost, List(pause_ms, may_lag=state.revision is None)]
    # Answered at once it proves that nothing was missed.  Else members would
    # hold what they know for stale and read the store themselves.
    return [*lost, _catch_up(state, pause_ms)]
