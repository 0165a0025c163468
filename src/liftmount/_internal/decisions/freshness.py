"""Freshness of feeds that is confirmed by answers about another feed.

The store has one revision counter for changes of all kinds.  If each
revision up to that of an answer belongs to a change already received, no
other feed has changed, and the answer confirms all of them.  So the primary
feed is watched often, and the dependent feeds wait long for changes.  If a
revision is missing, nothing is confirmed and the dependent feed is read.

This saves calls to the store while few objects change.
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

# Time for a missing revision to arrive on the connection of its own feed.
# Answers on two connections overtake each other by some tens of ms on a busy
# balancer; a change must not wait longer than its bound.
CONFIRM_TIMEOUT_MS = 150
# Targets change most often, so they need most answers anyway.
PRIMARY_FEED = TARGETS
DEPENDENT_FEEDS = (ROUTES, EVACUATIONS)
# Beyond it the revisions are dropped, and dependent feeds are read.
MAX_TRACKED_REVISIONS = 4_096


@message
class Answered(Message):
    """The store answered a call about ``feed``."""

    feed: str
    update: Listing | Delta
    now_ms: int


@message
class ReadingStarted(Message):
    """All feeds are read again; dependent feeds rely on the primary one."""


@message
class Confirm(Message):
    """A feed is confirmed up to ``delta.revision``; the delta is empty."""

    feed: str
    delta: Delta


@message
class ReadFeed(Message):
    """A feed was not confirmed in time and has to be read itself."""

    feed: str


@define
class FreshnessState:
    """Revisions of the feeds, and recent changes.

    ``known`` maps feeds to the revision up to which they are held,
    ``changes`` maps revisions to the feed that changed.  ``dependent`` holds
    the feeds that rely on the primary one, ``unconfirmed_since_ms`` the time
    since which the answers of the primary feed have not confirmed a feed.
    """

    known: dict[str, int] = Factory(dict)
    changes: dict[int, str] = Factory(dict)
    dependent: set[str] = Factory(set)
    unconfirmed_since_ms: dict[str, int] = Factory(dict)


def decide(state: FreshnessState, event) -> list:
    """Return the Confirm and ReadFeed actions for an event."""
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
            return _read_unconfirmed(state, event.now_ms)
    raise TypeError(f'unknown event {event!r}')


def count_affected_feeds(state: FreshnessState, feed: str) -> int:
    """Return how many feeds a failed call of ``feed`` affects.

    A dependent feed makes no calls of its own that would fail as well.
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
    """Return whether all changes since ``known`` belong to other feeds."""
    since = range(known + 1, revision + 1)
    # A missing revision may be a change of the feed itself.
    return all(state.changes.get(one, feed) != feed for one in since)


def _drop_old(state):
    if len(state.changes) > MAX_TRACKED_REVISIONS:
        state.changes.clear()
    oldest = min(state.known.values())
    for revision in [one for one in state.changes if one <= oldest]:
        del state.changes[revision]


def _read_unconfirmed(state, now_ms):
    actions = []
    for feed, since_ms in list(state.unconfirmed_since_ms.items()):
        if now_ms - since_ms < CONFIRM_TIMEOUT_MS:
            continue
        del state.unconfirmed_since_ms[feed]
        if feed in state.dependent:
            state.dependent.discard(feed)
            actions.append(ReadFeed(feed))
    return actions
