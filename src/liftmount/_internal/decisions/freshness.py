"""Which kinds of objects an answer of the store about another kind proves.

One counter of the store rises with every change of any kind.  When each
number up to an answer is that of a change already seen, nothing else has
changed: the answer proves all kinds fresh, and not only its own.  So one
kind is asked often enough for proofs, and the others wait long for news.
Where numbers are missing, nothing is confirmed, and each kind is asked.

Load pattern: a fleet in which little changes, where proofs of freshness
are most calls to the store.
"""

from attrs import define
from attrs import Factory

from liftmount._internal.models.feeds import Delta
from liftmount._internal.models.feeds import EVACUATIONS
from liftmount._internal.models.feeds import Listing
from liftmount._internal.models.feeds import ROUTES
from liftmount._internal.models.feeds import TARGETS
from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message
from liftmount._internal.models.records import Tick

# Answers on two connections overtake each other by some milliseconds, by
# tens on a busy balancer; a change may wait for no longer than its bound.
CONFIRM_TIMEOUT_MS = 150
# The kind whose own answers prove it: targets change most often, so that
# answers about them come anyway.
PRIMARY_FEED = TARGETS
DEPENDENT_FEEDS = (ROUTES, EVACUATIONS)
# Changes kept while one kind is not answered for; beyond it that kind is
# asked, which costs one call.
MAX_TRACKED_REVISIONS = 4_096


@message
class Answered(Message):
    """The store answered about a feed."""

    feed: str
    update: Listing | Delta
    now_ms: int


@message
class ReadingStarted(Message):
    """All feeds ask anew, and the others rely on the prover from now on."""


@message
class Confirm(Message):
    """A feed is known as of ``delta.revision``, which changes nothing."""

    feed: str
    delta: Delta


@message
class Ask(Message):
    """No answer confirmed a feed in time: it has to be asked itself."""

    feed: str


@define
class FreshnessState:
    """What is known of the changes of late.

    ``known`` maps feeds to the revision as of which they are known,
    ``changes`` revisions to the feed that changed then.  ``dependent`` are the
    feeds that rely on the answers of others; ``unconfirmed_since_ms`` tells since when an
    answer has not confirmed one.
    """

    known: dict[str, int] = Factory(dict)
    changes: dict[int, str] = Factory(dict)
    dependent: set[str] = Factory(set)
    unconfirmed_since_ms: dict[str, int] = Factory(dict)


def decide(state: FreshnessState, event) -> list:
    """Return the Confirm and Ask that follow from an event."""
    match event:
        case Answered():
            return _on_answer(state, event)
        case ReadingStarted():
            state.known.clear()
            state.changes.clear()
            state.unconfirmed_since_ms.clear()
            state.dependent = set(DEPENDENT_FEEDS)
            return []
        case Tick():
            return _ask_unconfirmed(state, event.now_ms)
    raise TypeError(f'unknown event {event!r}')


def count_affected_feeds(state: FreshnessState, feed: str) -> int:
    """Return for how many feeds a failed call of one speaks.

    Whoever relies on the prover makes no calls of its own by which it would
    notice that the store is out of reach.
    """
    return 1 + len(state.dependent) if feed == PRIMARY_FEED else 1


def _on_answer(state, event):
    update = event.update
    if isinstance(update, Delta):
        for revision in update.changes:
            state.changes[revision] = event.feed
    elif update.may_lag:
        return []
    before = state.known.get(event.feed, 0)
    state.known[event.feed] = max(before, update.revision)
    state.unconfirmed_since_ms.pop(event.feed, None)
    actions = []
    for feed in DEPENDENT_FEEDS:
        if feed != event.feed:
            actions += _confirm(state, feed, event)
    _drop_old(state)
    return actions


def _confirm(state, feed, event):
    revision = event.update.revision
    known = state.known.get(feed)
    if known is None or not _is_unchanged(state, feed, known, revision):
        if event.feed == PRIMARY_FEED:
            state.unconfirmed_since_ms.setdefault(feed, event.now_ms)
        return []
    if revision < known:
        return []
    state.known[feed] = revision
    state.dependent.add(feed)
    state.unconfirmed_since_ms.pop(feed, None)
    age_ms = event.update.age_ms
    return [Confirm(feed, Delta((), (), revision, known, age_ms))]


def _is_unchanged(state, feed, known, revision):
    """Tell whether all since a feed was known were changes of others."""
    since = range(known + 1, revision + 1)
    # Its own change is told by its own answer, which is still to come.
    return all(state.changes.get(one, feed) != feed for one in since)


def _drop_old(state):
    if len(state.changes) > MAX_TRACKED_REVISIONS:
        state.changes.clear()
    oldest = min(state.known.values())
    for revision in [one for one in state.changes if one <= oldest]:
        del state.changes[revision]


def _ask_unconfirmed(state, now_ms):
    actions = []
    for feed, since_ms in list(state.unconfirmed_since_ms.items()):
        if now_ms - since_ms < CONFIRM_TIMEOUT_MS:
            continue
        del state.unconfirmed_since_ms[feed]
        if feed in state.dependent:
            state.dependent.discard(feed)
            actions.append(Ask(feed))
    return actions
