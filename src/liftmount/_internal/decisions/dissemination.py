"""Dissemination of the store's contents within a failure domain.

The root of the domain's relay tree reads the store.  Heartbeats carry
changes down the tree, together with the age of the sender's data.  A
member that receives no heartbeat, or only stale ones, reads the store
itself, as it may reach the store when it does not reach its peers.  The
number of calls to the store thus grows with the failure domains, and no
single balancer has to be up.
"""

from enum import Enum

from attrs import define
from attrs import Factory

from liftmount._internal.clock import NEVER_MS
from liftmount._internal.decisions import evacuations
from liftmount._internal.decisions.evacuations import EvacuationState
from liftmount._internal.decisions.list_watch import freshness_times
from liftmount._internal.decisions.list_watch import FreshnessTimes
from liftmount._internal.decisions.reader_choice import choose_reading
from liftmount._internal.decisions.reader_choice import FALLBACK_REASONS
from liftmount._internal.decisions.relay import FANOUT
from liftmount._internal.decisions.relay import find_parent
from liftmount._internal.decisions.store_liveness import ProbeWanted
from liftmount._internal.decisions.store_liveness import StoreAlive
from liftmount._internal.models.feeds import Delta
from liftmount._internal.models.feeds import Evacuated
from liftmount._internal.models.feeds import EVACUATIONS
from liftmount._internal.models.feeds import Listing
from liftmount._internal.models.feeds import ROUTES
from liftmount._internal.models.feeds import RouteUnknown
from liftmount._internal.models.feeds import TARGETS
from liftmount._internal.models.feeds import TargetUnknown
from liftmount._internal.models.flow_messages import RoutesConfirmed
from liftmount._internal.models.peer_messages import Heartbeat
from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message
from liftmount._internal.models.records import Tick

# MIN_SILENT_MS and CONFIRM_MARGIN_MS of list_watch depend on it.  With eight
# children (FANOUT) heartbeats cost more than 1 KB a second.
HEARTBEAT_INTERVAL_MS = 400
# A member that has missed two heartbeats requests one.  Views of the
# membership differ while many members join or leave, and a parent then sends
# nothing to some of its children.
REQUEST_AFTER_MS = 900
# Leaves time for more than one request before the store is read.
REQUEST_INTERVAL_MS = 200
# Time in which a request is answered; later on, only the first heartbeat of
# the peer may still be the answer, up to the limit.
ANSWER_TIME_MS = 200
LATE_ANSWER_TIME_MS = 1_000
# A member requests a heartbeat this long before its data is stale.
REQUEST_MARGIN_MS = 600
# Time after an answer until the next watch has reached the store, besides the
# time for which changes are batched.
WATCH_START_MS = 100
# Answers on two connections overtake each other by some tens of ms on a busy
# balancer: an answer to a probe proves no more than the time before.
OVERTAKE_MS = 150
# Changes are repeated in heartbeats for this long, in case one is lost.
CHANGE_RETENTION_MS = 1_500
# Changes in one heartbeat, which has to fit into a datagram.
MAX_CHANGES = 10
# Least time between two pulls of a snapshot.
PULL_INTERVAL_MS = 300
# Concurrent pulls, each from another peer: the second one is for the case
# that the first peer has died, and each further one would slow all down.
MAX_PULLS = 2


@message
class RelayOrderChanged(Message):
    """The members of the domain in the order of the relay tree.

    ``remote`` names some live members of other domains.
    """

    order: tuple[str, ...]
    remote: tuple[str, ...] = ()


@message
class HeartbeatReceived(Message):
    """A heartbeat of a peer was received."""

    heartbeat: Heartbeat
    now_ms: int


@message
class StoreAnswered(Message):
    """A call of this balancer to the store was answered."""

    feed: str
    update: Listing | Delta
    now_ms: int


@message
class FeedLost(Message):
    """A call of a feed failed: its changes are not awaited now."""

    feed: str


@message
class RevisionsChanged(Message):
    """The revisions that this balancer holds; they only grow.

    ``evacuated`` is None if the evacuated domains are not known.
    """

    targets_revision: int
    routes_revision: int
    routes_version: int
    evacuated: Evacuated | None = None


@message
class PullEnded(Message):
    """A pull from a peer has succeeded or failed."""

    peer: str


@message
class PeerDiffers(Message):
    """A peer of any domain holds another version, and may be ahead."""

    peer: str
    now_ms: int


@message
class PollStore(Message):
    """Ask the store at once for changes of targets."""


@message
class SendHeartbeat(Message):
    """Send a heartbeat to ``children`` in the relay tree."""

    heartbeat: Heartbeat
    children: tuple[str, ...]


@message
class HeartbeatRequested(Message):
    """A peer that received no fresh heartbeat requests one."""

    sender: str
    now_ms: int


@message
class RequestHeartbeat(Message):
    """Request a heartbeat from peers."""

    peers: tuple[str, ...]


@message
class ApplyDelta(Message):
    """Apply the changes of targets that a heartbeat carried."""

    delta: Delta


class Scope(Enum):
    """What a pull requests.

    ``NEWER`` leaves targets out if none are newer.  ``ALL`` always includes
    them, also those missing from the store, which a revision does not show.
    """

    ROUTES = 'routes'
    NEWER = 'newer'
    ALL = 'all'


@message
class Pull(Message):
    """Get a snapshot from a peer."""

    peer: str
    scope: Scope


@message
class SetStoreReader(Message):
    """Start or stop reading the store; ``reason`` says why."""

    is_reader: bool
    reason: str

    @property
    def is_fallback(self) -> bool:
        """Return whether another member should be reading the store."""
        return self.reason in FALLBACK_REASONS


@define
class _Request:
    """A request for a heartbeat, and whether one came since."""

    sent_ms: int
    is_answered: bool = False


@define
class _Change:
    delta: Delta
    recorded_ms: int


@define
class DisseminationState:
    """Place in the relay tree, freshness of the data, and recent changes.

    ``order`` lists the members of the domain in the order of the relay tree,
    ``remote`` some members of other domains.  ``jitter`` is a share from 0
    to 1 that differs by member.  ``last_received_ms`` is when a heartbeat was
    last received, ``confirmed_ms`` when the store last confirmed the data
    according to heartbeats, ``read_ms`` the same according to own calls, by
    feed.  ``pulled_from`` holds the peers of the pulls in progress.
    ``process_started_ms`` is when the process started, ``started_ms`` when
    this state was created.  ``stale_peer_ms`` is when a heartbeat last showed
    that a peer's data is stale too, as after a common start.
    ``watching_from_ms`` maps the feeds to the time from which on their next
    change is awaited, ``watched_ms`` is until when all were, as probes of the
    store showed, and ``alive_ms`` when the store last answered here.
    ``requests`` maps peers to the last request to them.
    """

    name: str
    started_ms: int
    jitter: float = 0.5
    times: FreshnessTimes = Factory(freshness_times)
    order: tuple[str, ...] = ()
    remote: tuple[str, ...] = ()
    is_reader: bool = True
    process_started_ms: int = Factory(
        lambda self: self.started_ms, takes_self=True
    )
    last_received_ms: int = 0
    stale_peer_ms: int = NEVER_MS
    confirmed_ms: int = NEVER_MS
    read_ms: dict[str, int] = Factory(dict)
    watching_from_ms: dict[str, int] = Factory(dict)
    watched_ms: int = NEVER_MS
    alive_ms: int = NEVER_MS
    feeds: tuple[str, ...] = (ROUTES, TARGETS, EVACUATIONS)
    evacuations: EvacuationState = Factory(EvacuationState)
    targets_revision: int = 0
    routes_revision: int = 0
    routes_version: int = 0
    changes: list[_Change] = Factory(list)
    next_send_ms: int = 0
    next_pull_ms: int = 0
    next_request_ms: int = 0
    requests_sent: int = 0
    requests: dict[str, _Request] = Factory(dict)
    pulled_from: set[str] = Factory(set)

    @property
    def is_root(self) -> bool:
        """Return whether this member is the root of the relay tree."""
        return not self.order or self.order[0] == self.name

    def children(self) -> tuple[str, ...]:
        """Return the children of this member in the relay tree."""
        if self.name not in self.order:
            return ()
        first = self.order.index(self.name) * FANOUT + 1
        return self.order[first : first + FANOUT]

    def last_confirmed_ms(self) -> int:
        """Return when the store last confirmed the data held here."""
        own_ms = min(self.read_ms.get(feed, NEVER_MS) for feed in self.feeds)
        return max(self.confirmed_ms, self.watched_ms, own_ms)

    def next_change_ms(self) -> int | None:
        """Return from when on all feeds await changes; None if one fails."""
        if any(feed not in self.watching_from_ms for feed in self.feeds):
            return None
        return max(self.watching_from_ms.values())


def decide(state: DisseminationState, event) -> list:
    """Return the actions for an event."""
    match event:
        case StoreAnswered():
            return _on_store_answer(state, event)
        case StoreAlive():
            return _on_store_alive(state, event)
        case FeedLost():
            state.watching_from_ms.pop(event.feed, None)
            return []
        case TargetUnknown():
            return _find_target(state, event.now_ms)
        case RouteUnknown():
            return _find_route(state, event.now_ms)
        case Tick():
            return _tick(state, event.now_ms)
    return _decide_on_peers(state, event)


def _decide_on_peers(state, event):
    """Return the actions for a change of members or for what they say."""
    match event:
        case RelayOrderChanged():
            state.order = event.order
            state.remote = event.remote
            _forget_requests(state)
            return []
        case RevisionsChanged():
            return _update_revisions(state, event)
        case HeartbeatReceived():
            return _on_heartbeat(state, event.heartbeat, event.now_ms)
        case HeartbeatRequested():
            heartbeat = make_heartbeat(state, event.now_ms)
            return [SendHeartbeat(heartbeat, (event.sender,))]
        case PullEnded():
            state.pulled_from.discard(event.peer)
            return []
        case PeerDiffers():
            return _pull(state, event.peer, event.now_ms, Scope.ALL)
    raise TypeError(f'unknown event {event!r}')


def _forget_requests(state):
    """Forget the requests to members that are gone."""
    known = {*state.order, *state.remote}
    for name in [one for one in state.requests if one not in known]:
        del state.requests[name]


def _update_revisions(state, event):
    if event.targets_revision > state.targets_revision:
        # The recorded changes do not lead to the snapshot just applied.
        state.changes.clear()
    state.targets_revision = event.targets_revision
    state.routes_revision = event.routes_revision
    if event.evacuated is not None:
        _apply_evacuated(state, event.evacuated)
    is_newer = event.routes_version > state.routes_version
    state.routes_version = event.routes_version
    if is_newer:
        # Children pull a new configuration once a heartbeat announces it.
        state.next_send_ms = 0
    return []


def _apply_evacuated(state, update):
    """Update the evacuated domains; send a heartbeat at once if changed."""
    if evacuations.decide(state.evacuations, update):
        state.next_send_ms = 0


def _on_store_answer(state, event):
    update = event.update
    may_lag = isinstance(update, Listing) and update.may_lag
    if not may_lag:
        _note_exact_answer(state, event)
    if event.feed == TARGETS:
        if isinstance(update, Delta):
            _record_change(state, update, event.now_ms)
        elif update.revision > state.targets_revision:
            state.changes.clear()
        state.targets_revision = max(state.targets_revision, update.revision)
        return []
    if event.feed == EVACUATIONS:
        _apply_evacuated(state, update)
        return []
    state.routes_revision = max(state.routes_revision, update.revision)
    items = update.items if isinstance(update, Listing) else update.written
    version = max((one.version for one in items), default=0)
    if version > state.routes_version:
        state.routes_version = version
        state.next_send_ms = 0
    return []


def _note_exact_answer(state, event):
    now_ms = event.now_ms
    update = event.update
    age_ms = now_ms - state.last_confirmed_ms()
    # The answer is as old as its first byte.
    state.read_ms[event.feed] = now_ms - update.age_ms
    state.alive_ms = now_ms
    pause_ms = 0
    if isinstance(update, Delta) and (update.written or update.removed):
        pause_ms = state.times.collect_ms
    state.watching_from_ms[event.feed] = now_ms + pause_ms + WATCH_START_MS
    if age_ms > state.times.fresh_ms:
        # The first answer in a while: the children need not read as well.
        state.next_send_ms = 0


def _on_store_alive(state, event):
    """Confirm the data if changes were awaited as the probe was sent."""
    state.alive_ms = event.now_ms
    watching_ms = state.next_change_ms()
    is_watching = watching_ms is not None and watching_ms <= event.sent_ms
    if not (state.is_reader and is_watching):
        return []
    state.watched_ms = max(state.watched_ms, event.sent_ms - OVERTAKE_MS)
    return [
        RoutesConfirmed(state.routes_version, state.watched_ms, event.now_ms)
    ]


def _record_change(state, delta, now_ms):
    if state.changes and delta.base > state.changes[-1].delta.revision:
        state.changes.clear()
    state.changes.append(_Change(delta, now_ms))
    if delta.written or delta.removed:
        state.next_send_ms = 0


def _confirmed_as_of_ms(state, heartbeat, now_ms):
    """Return when the store had confirmed the data of a heartbeat.

    An answer was sent at some time since the request.  Counted from its
    arrival, its data would seem fresher by its way with each exchange, and
    members that ask each other would hold them for fresh for ever.
    """
    sent_ms = now_ms
    request = state.requests.get(heartbeat.sender)
    if request is not None and _may_answer(request, now_ms):
        request.is_answered = True
        sent_ms = request.sent_ms
    return sent_ms - heartbeat.age_ms


def _may_answer(request, now_ms):
    """Return whether a heartbeat that arrives may answer a request."""
    waited_ms = now_ms - request.sent_ms
    if waited_ms <= ANSWER_TIME_MS:
        # One that was due anyway may have come before the answer.
        return True
    return waited_ms <= LATE_ANSWER_TIME_MS and not request.is_answered


def _on_heartbeat(state, heartbeat, now_ms):
    as_of_ms = _confirmed_as_of_ms(state, heartbeat, now_ms)
    state.last_received_ms = now_ms
    if heartbeat.age_ms > state.times.start_ms:
        state.stale_peer_ms = now_ms
    is_behind = heartbeat.routes_version > state.routes_version
    if heartbeat.routes_version == state.routes_version:
        state.routes_revision = max(
            state.routes_revision, heartbeat.routes_revision
        )
    actions = []
    if _has_newer_evacuated(state, heartbeat):
        _apply_evacuated(state, heartbeat.evacuated)
        actions.append(heartbeat.evacuated)
    if not is_behind:
        confirmed = RoutesConfirmed(heartbeat.routes_version, as_of_ms, now_ms)
        actions.append(confirmed)
    is_gap = False
    if heartbeat.targets_revision > state.targets_revision:
        if state.targets_revision >= heartbeat.base:
            delta = Delta(
                heartbeat.written,
                heartbeat.removed,
                heartbeat.targets_revision,
                heartbeat.base,
            )
            _record_change(state, delta, now_ms)
            state.targets_revision = heartbeat.targets_revision
            actions.append(ApplyDelta(delta))
        else:
            is_gap = True
    if not (is_behind or is_gap):
        state.confirmed_ms = max(state.confirmed_ms, as_of_ms)
        return actions
    scope = Scope.NEWER if is_gap else Scope.ROUTES
    return [*actions, *_pull(state, heartbeat.sender, now_ms, scope)]


def _has_newer_evacuated(state, heartbeat):
    received = heartbeat.evacuated
    if received is None:
        return False
    known = state.evacuations.known
    return known is None or received.revision > known.revision


def _find_target(state, now_ms):
    """Pull from the root, or poll the store, to find a target."""
    if not state.is_reader and state.order:
        return _pull(state, state.order[0], now_ms, Scope.ALL)
    if now_ms < state.next_pull_ms:
        return []
    state.next_pull_ms = now_ms + PULL_INTERVAL_MS
    return [PollStore()]


def _find_route(state, now_ms):
    """Pull newer routes from the root; a reader is told of them anyway."""
    if state.is_reader or not state.order:
        return []
    return _pull(state, state.order[0], now_ms, Scope.ROUTES)


def _pull(state, peer, now_ms, scope):
    is_busy = len(state.pulled_from) >= MAX_PULLS
    if now_ms < state.next_pull_ms or peer in state.pulled_from or is_busy:
        return []
    state.next_pull_ms = now_ms + PULL_INTERVAL_MS
    state.pulled_from.add(peer)
    return [Pull(peer, scope)]


def _tick(state, now_ms):
    actions = _update_role(state, now_ms)
    if now_ms >= state.next_send_ms:
        state.next_send_ms = now_ms + HEARTBEAT_INTERVAL_MS
        children = state.children()
        if children:
            actions.append(
                SendHeartbeat(make_heartbeat(state, now_ms), children)
            )
    return [*actions, *_request_heartbeat(state, now_ms)]


def _request_heartbeat(state, now_ms):
    """Request a heartbeat before the store has to be read."""
    last_received_ms = max(state.last_received_ms, state.started_ms)
    confirmed_ms = max(state.last_confirmed_ms(), state.started_ms)
    is_silent = (
        not state.is_root and now_ms - last_received_ms > REQUEST_AFTER_MS
    )
    is_old = now_ms - confirmed_ms > state.times.stale_ms - REQUEST_MARGIN_MS
    # A first list may lag; peers mostly hold fresher data.
    is_unconfirmed = state.last_confirmed_ms() < state.process_started_ms
    is_needed = is_silent or is_old or is_unconfirmed
    if not is_needed or now_ms < state.next_request_ms:
        return []
    state.next_request_ms = now_ms + REQUEST_INTERVAL_MS
    peers = _choose_peers(state)
    if not peers:
        return []
    state.requests_sent += 1
    for peer in peers:
        state.requests[peer] = _Request(now_ms)
    return [RequestHeartbeat(peers)]


def _choose_peers(state):
    """Return the parent, another local member and a remote one.

    The parent may not know this child, and the domain may have lost its path
    to the store.  The other two change with each request.
    """
    peers = []
    parent = find_parent(state.order, state.name)
    if parent is not None:
        peers.append(parent)
    if state.name in state.order and len(state.order) > 1:
        index = state.order.index(state.name)
        offset = 1 + state.requests_sent % (len(state.order) - 1)
        peers.append(state.order[(index + offset) % len(state.order)])
    if state.remote:
        index = round(state.jitter * len(state.remote)) + state.requests_sent
        peers.append(state.remote[index % len(state.remote)])
    return tuple(dict.fromkeys(peers))


def _update_role(state, now_ms):
    choice = choose_reading(state, now_ms)
    actions = [ProbeWanted()] if choice.must_ask else []
    if choice.is_reader == state.is_reader:
        return actions
    state.is_reader = choice.is_reader
    state.watching_from_ms.clear()
    return [*actions, SetStoreReader(choice.is_reader, choice.reason)]


def make_heartbeat(state: DisseminationState, now_ms: int) -> Heartbeat:
    """Return the heartbeat to send now, with the recent changes.

    Changes older than CHANGE_RETENTION_MS are dropped from the state.
    """
    state.changes = [
        one
        for one in state.changes
        if now_ms - one.recorded_ms <= CHANGE_RETENTION_MS
    ]
    base, written, removed = _merge(state.changes)
    if len(written) + len(removed) > MAX_CHANGES:
        # Too much for a datagram: members that are behind pull a snapshot.
        base, written, removed = None, (), ()
    return Heartbeat(
        sender=state.name,
        age_ms=max(0, now_ms - state.last_confirmed_ms()),
        base=state.targets_revision if base is None else base,
        targets_revision=state.targets_revision,
        routes_revision=state.routes_revision,
        routes_version=state.routes_version,
        written=written,
        removed=removed,
        evacuated=state.evacuations.known,
    )


def _merge(changes):
    """Return base, entries written and names removed of all changes."""
    base = None
    latest = {}
    for one in changes:
        delta = one.delta
        base = delta.base if base is None else min(base, delta.base)
        for entry in delta.written:
            latest[entry.name] = entry
        for name in delta.removed:
            latest[name] = None
    written = tuple(one for one in latest.values() if one is not None)
    removed = tuple(name for name, one in latest.items() if one is None)
    return base, written, removed
