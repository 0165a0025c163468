"""Whether the store answers this balancer.

A watch that waits tells nothing: the store may have stopped to answer this
balancer alone. So a member that reads the store asks it a small question when
it has heard nothing for a moment. The question costs a tenth of a call and
its answer may lag, so it shows that the store answers, not what it holds. A
member whose questions get no answer says so, for another one to read in its
place, and asks on until it gets one.
"""

from attrs import define
from attrs import Factory

from liftmount._internal.clock import NEVER_MS
from liftmount._internal.decisions.list_watch import freshness_times
from liftmount._internal.decisions.list_watch import FreshnessTimes
from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message
from liftmount._internal.models.records import Tick

# Probes without an answer in a row, the second one at once and over a new
# connection, before another member is to read: single answers get lost.
MAX_FAILED_PROBES = 2
# Pause after that many; doubled up to the maximum, and scaled by 0.5 to 1.5
# for jitter.
FIRST_RETRY_MS = 200
MAX_RETRY_MS = 1_500


@message
class ReaderChanged(Message):
    """This balancer starts or stops to read the store."""

    is_reader: bool
    now_ms: int


@message
class CallAnswered(Message):
    """A call was answered; all changes are awaited from a time on.

    ``watching_from_ms`` is None while a feed has a call in progress that does
    not wait for changes: its end tells as much as a probe, and a probe may
    get stuck behind a list on a slow link.
    """

    watching_from_ms: int | None
    now_ms: int


@message
class CallsFailed(Message):
    """Several calls in a row got no usable answer."""

    now_ms: int


@message
class ProbeWanted(Message):
    """It has to be known whether the store answers."""


@message
class ProbeEnded(Message):
    """A probe that was sent at ``sent_ms`` was answered, or not.

    Without an answer it shows nothing if the own link ``is_link_busy``.
    """

    sent_ms: int
    is_answered: bool
    now_ms: int
    is_link_busy: bool = False


@message
class SendProbe(Message):
    """Ask the store, which has to begin to answer within ``timeout_ms``."""

    timeout_ms: int


@message
class StoreAlive(Message):
    """The store answered a probe that was sent at ``sent_ms``."""

    sent_ms: int
    now_ms: int


@message
class StoreDoubted(Message):
    """A probe got no answer: calls that wait may get none either."""


@message
class ReadAgain(Message):
    """The store answers after a doubt: repeat the calls that wait."""


@message
class StoreLost(Message):
    """The store does not answer this balancer any more."""

    failures: int


@message
class StoreRegained(Message):
    """The store answers this balancer again."""

    silent_ms: int


@define
class LivenessState:
    """When the store answered last, and the probe to send next.

    ``jitter`` is a share from 0 to 1 that differs by member.  ``is_watching``
    tells whether all feeds wait for changes.
    """

    jitter: float = 0.5
    times: FreshnessTimes = Factory(freshness_times)
    is_reader: bool = True
    is_watching: bool = False
    is_lost: bool = False
    is_probing: bool = False
    is_wanted: bool = False
    failures: int = 0
    answered_ms: int = NEVER_MS
    next_ms: int = 0


def decide(state: LivenessState, event) -> list:
    """Return the actions for an event."""
    match event:
        case Tick():
            return _tick(state, event.now_ms)
        case ReaderChanged():
            state.is_reader = event.is_reader
            state.is_watching = False
            state.next_ms = max(
                state.next_ms, event.now_ms + state.times.probe_ms
            )
            return []
        case CallAnswered():
            watching_from_ms = event.watching_from_ms
            state.is_watching = watching_from_ms is not None
            quiet_from_ms = event.now_ms + state.times.probe_ms
            state.next_ms = max(quiet_from_ms, watching_from_ms or 0)
            return _note_answer(state, event.now_ms)
        case CallsFailed():
            state.next_ms = event.now_ms + _retry_ms(state, MAX_RETRY_MS)
            return _lose(state)
        case ProbeWanted():
            state.is_wanted = True
            return []
        case ProbeEnded():
            return _on_probe_end(state, event)
    raise TypeError(f'unknown event {event!r}')


def _tick(state, now_ms):
    is_reading = state.is_reader and (state.is_watching or state.failures)
    is_needed = is_reading or state.is_wanted or state.is_lost
    if state.is_probing or not is_needed:
        return []
    is_urgent = state.is_wanted and not state.failures
    if now_ms < state.next_ms and not is_urgent:
        return []
    state.is_probing = True
    state.is_wanted = False
    return [SendProbe(state.times.probe_timeout_ms)]


def _on_probe_end(state, event):
    state.is_probing = False
    if event.is_answered:
        state.next_ms = event.now_ms + state.times.probe_ms
        actions = [StoreAlive(event.sent_ms, event.now_ms)]
        if state.is_reader and state.failures:
            actions.append(ReadAgain())
        return [*actions, *_note_answer(state, event.now_ms)]
    if event.is_link_busy:
        state.next_ms = event.now_ms + state.times.probe_ms
        return []
    state.failures += 1
    if state.failures < MAX_FAILED_PROBES:
        state.next_ms = event.now_ms
        return [StoreDoubted()]
    doubled_ms = FIRST_RETRY_MS * 2 ** min(state.failures, 10)
    state.next_ms = event.now_ms + _retry_ms(state, doubled_ms)
    return [StoreDoubted(), *_lose(state)]


def _retry_ms(state, pause_ms):
    return round(min(pause_ms, MAX_RETRY_MS) * (0.5 + state.jitter))


def _lose(state):
    if state.is_lost:
        return []
    state.is_lost = True
    return [StoreLost(state.failures)]


def _note_answer(state, now_ms):
    silent_ms = now_ms - state.answered_ms
    state.answered_ms = now_ms
    state.failures = 0
    if not state.is_lost:
        return []
    state.is_lost = False
    return [StoreRegained(silent_ms)]
