"""Who reads the store, and how its news reach the others of a domain.

The root of a failure domain's relay tree reads the store for all; news
run down the tree in beats, which also tell how old the knowledge is.  A
member that hears no beat, or only old ones, reads the store itself: it
may reach the store when it does not reach its peers.  So calls to the
store grow with the domains, and no single balancer has to be up.
"""

from enum import Enum

from attrs import define
from attrs import Factory

from liftmount._internal.decisions import evacuations
from liftmount._internal.decisions.evacuations import EvacuationState
from liftmount._internal.decisions.list_watch import freshness_times
from liftmount._internal.decisions.list_watch import FreshnessTimes
from liftmount._internal.decisions.list_watch import READ_MARGIN_MS
from liftmount._internal.decisions.list_watch import RECHECK_DEADLINE_MS
from liftmount._internal.decisions.relay import count_between
from liftmount._internal.decisions.relay import FANOUT
from liftmount._internal.decisions.relay import find_parent
from liftmount._internal.models.feeds import Delta
from liftmount._internal.models.feeds import Evacuated
from liftmount._internal.models.feeds import EVACUATIONS
from liftmount._internal.models.feeds import Listing
from liftmount._internal.models.feeds import ROUTES
from liftmount._internal.models.feeds import TARGETS
from liftmount._internal.models.feeds import TargetUnknown
from liftmount._internal.models.peer_messages import Heartbeat
from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message
from liftmount._internal.models.records import Tick

# Beats come this often; a beat is some 60 bytes, to eight children 1.2 KB
# a second with all overhead.
HEARTBEAT_INTERVAL_MS = 400
# Who has missed two beats, or whose knowledge is nearly too old, asks peers
# for a beat.  Views of who is there differ for seconds while many come and
# go, and a parent then sends nothing to some of its children.
REQUEST_AFTER_MS = 1_000
# Between two questions: some fall into the time until the store is read.
REQUEST_INTERVAL_MS = 200
# Questions of a newcomer before it reads the store: by the second one the
# answers to the first are there.
REQUESTS_BEFORE_READ = 2
REQUEST_MARGIN_MS = 500
# Members start to read spread over this time, as all miss the same beat.
READ_JITTER_MS = 400
# Members further down the tree begin this much later for each level: those
# above them tell them by then, if they reach the store.
LEVEL_DELAY_MS = 600
# Until a newcomer has heard who else is there it takes itself for the root,
# and would read the store for nobody.
STARTUP_GRACE_MS = 1_500
# Changes stay in beats for this long, so that one lost beat costs nothing.
CHANGE_RETENTION_MS = 1_500
# What a beat may hold of changes: some 90 bytes each, in one datagram.
MAX_CHANGES = 10
# Pause between two attempts to get the whole knowledge of a peer.
PULL_INTERVAL_MS = 300
# Pulls at the same time, each from another peer: the second one is for the
# case that the first peer has died.  Whole knowledge of 27,000 targets takes
# seconds on a link of 5 Mbit/s, and each further copy would slow all down.
MAX_PULLS = 2

# What was never confirmed, also on a machine whose clock has just begun.
NEVER_MS = -3_600_000

# Why a member reads that is not the root.
NOT_CONFIRMED = 'not proven since its start'
NO_HEARTBEAT = 'no beat'
STALE_HEARTBEATS = 'old beats'
FALLBACK_REASONS = (NO_HEARTBEAT, STALE_HEARTBEATS)


@message
class RelayOrderChanged(Message):
    """The members of the domain in the order of the relay tree.

    ``remote`` names some live members of other domains.
    """

    order: tuple[str, ...]
    remote: tuple[str, ...] = ()


@message
class HeartbeatReceived(Message):
    """A beat of a peer arrived."""

    heartbeat: Heartbeat
    now_ms: int


@message
class StoreAnswered(Message):
    """Our own call to the store, for one feed, was answered."""

    feed: str
    update: Listing | Delta
    now_ms: int


@message
class RevisionsChanged(Message):
    """What this balancer holds; revisions and version only grow.

    ``evacuated`` is None if it is not known which domains are.
    """

    targets_revision: int
    routes_revision: int
    routes_version: int
    evacuated: Evacuated | None = None


@message
class PullEnded(Message):
    """What a peer knows has come, or can't be had."""

    peer: str


@message
class PeerDiffers(Message):
    """A peer of any domain holds another version, and we know little."""

    peer: str
    now_ms: int


@message
class PollStore(Message):
    """Ask the store at once for what changed in targets."""


@message
class SendHeartbeat(Message):
    """Send a beat to the children in the tree."""

    heartbeat: Heartbeat
    children: tuple[str, ...]


@message
class HeartbeatRequested(Message):
    """A peer has heard no beat, or only old ones, and asks for one."""

    sender: str
    now_ms: int


@message
class RequestHeartbeat(Message):
    """Ask peers for a beat."""

    peers: tuple[str, ...]


@message
class ApplyDelta(Message):
    """Take over news of targets that a beat brought."""

    delta: Delta


class Scope(Enum):
    """What a pull asks for.

    ``NEWER`` leaves targets out if none are newer; ``ALL`` also brings
    those that vanished from the store, which a revision does not tell.
    """

    ROUTES = 'routes'
    NEWER = 'newer'
    ALL = 'all'


@message
class Pull(Message):
    """Get what a peer knows."""

    peer: str
    scope: Scope


@message
class SetStoreReader(Message):
    """Begin or end to read the store; ``reason`` says why."""

    is_reader: bool
    reason: str

    @property
    def is_fallback(self) -> bool:
        """Tell whether another one reads it too, as far as is known."""
        return self.reason in FALLBACK_REASONS


@define
class _Change:
    delta: Delta
    recorded_ms: int


@define
class DisseminationState:
    """Place in the tree, freshness, and the news of late.

    ``confirmed_ms`` is when the store last confirmed what is held, as
    told by beats; ``read_ms`` the same of our own calls, by feed.
    ``pulled_from`` names the peers from which knowledge is under way.
    ``process_ms`` is when the process began, some time before this state,
    and ``stale_peer_ms`` when a peer last told that it has no fresher knowledge
    either: then all have started of late.
    """

    name: str
    started_ms: int
    jitter: float = 0.5
    times: FreshnessTimes = Factory(freshness_times)
    order: tuple[str, ...] = ()
    remote: tuple[str, ...] = ()
    is_reader: bool = True
    process_ms: int = Factory(lambda self: self.started_ms, takes_self=True)
    last_received_ms: int = 0
    stale_peer_ms: int = NEVER_MS
    confirmed_ms: int = NEVER_MS
    read_ms: dict[str, int] = Factory(dict)
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
    pulled_from: set[str] = Factory(set)

    @property
    def is_root(self) -> bool:
        """Tell whether this one reads the store for its domain."""
        return not self.order or self.order[0] == self.name

    def children(self) -> tuple[str, ...]:
        """Return the members that get beats from this one."""
        if self.name not in self.order:
            return ()
        first = self.order.index(self.name) * FANOUT + 1
        return self.order[first : first + FANOUT]

    def last_confirmed_ms(self) -> int:
        """Return when the store last confirmed what is held here."""
        own_ms = min(self.read_ms.get(feed, NEVER_MS) for feed in self.feeds)
        return max(self.confirmed_ms, own_ms)


def decide(state: DisseminationState, event) -> list:
    """Return the actions for an event."""
    match event:
        case RelayOrderChanged():
            state.order = event.order
            state.remote = event.remote
            return []
        case RevisionsChanged():
            return _update_revisions(state, event)
        case StoreAnswered():
            return _on_store_answer(state, event)
        case HeartbeatReceived():
            return _on_heartbeat(state, event.heartbeat, event.now_ms)
        case HeartbeatRequested():
            return [
                SendHeartbeat(
                    make_heartbeat(state, event.now_ms), (event.sender,)
                )
            ]
        case PullEnded():
            state.pulled_from.discard(event.peer)
            return []
        case TargetUnknown():
            return _find_target(state, event.now_ms)
        case PeerDiffers():
            return _pull(state, event.peer, event.now_ms, Scope.ALL)
        case Tick():
            return _tick(state, event.now_ms)
    raise TypeError(f'unknown event {event!r}')


def _update_revisions(state, event):
    if event.targets_revision > state.targets_revision:
        # The changes held do not lead to what was just taken over whole.
        state.changes.clear()
    state.targets_revision = event.targets_revision
    state.routes_revision = event.routes_revision
    if event.evacuated is not None:
        _apply_evacuated(state, event.evacuated)
    is_newer = event.routes_version > state.routes_version
    state.routes_version = event.routes_version
    if is_newer:
        # Children pull a new configuration as soon as they hear of it.
        state.next_send_ms = 0
    return []


def _apply_evacuated(state, update):
    """Note which domains are evacuated; children hear of a change at once."""
    if evacuations.decide(state.evacuations, update):
        state.next_send_ms = 0


def _on_store_answer(state, event):
    update = event.update
    may_lag = isinstance(update, Listing) and update.may_lag
    if not may_lag:
        # What took long to arrive is as old as its beginning.
        state.read_ms[event.feed] = event.now_ms - update.age_ms
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


def _record_change(state, delta, now_ms):
    if state.changes and delta.base > state.changes[-1].delta.revision:
        state.changes.clear()
    state.changes.append(_Change(delta, now_ms))
    if delta.written or delta.removed:
        state.next_send_ms = 0


def _on_heartbeat(state, heartbeat, now_ms):
    state.last_received_ms = now_ms
    if heartbeat.age_ms > state.times.stale_ms:
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
        confirmed_ms = now_ms - heartbeat.age_ms
        state.confirmed_ms = max(state.confirmed_ms, confirmed_ms)
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
    """Look for a target where news of it come first."""
    if not state.is_reader and state.order:
        return _pull(state, state.order[0], now_ms, Scope.ALL)
    if now_ms < state.next_pull_ms:
        return []
    state.next_pull_ms = now_ms + PULL_INTERVAL_MS
    return [PollStore()]


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
    """Ask peers for a beat before the store has to be read."""
    last_received_ms = max(state.last_received_ms, state.started_ms)
    known_ms = max(state.last_confirmed_ms(), state.started_ms)
    is_silent = (
        not state.is_root and now_ms - last_received_ms > REQUEST_AFTER_MS
    )
    is_old = now_ms - known_ms > state.times.stale_ms - REQUEST_MARGIN_MS
    # What a newcomer read at first may lag; others mostly know better.
    is_unconfirmed = state.last_confirmed_ms() < state.process_ms
    is_needed = is_silent or is_old or is_unconfirmed
    if not is_needed or now_ms < state.next_request_ms:
        return []
    state.next_request_ms = now_ms + REQUEST_INTERVAL_MS
    peers = _choose_peers(state)
    if not peers:
        return []
    state.requests_sent += 1
    return [RequestHeartbeat(peers)]


def _choose_peers(state):
    """Return the parent, another member of the domain, and one of another.

    The parent may not know of its child, the domain may have lost its way to
    the store; the others change with each question.
    """
    peers = []
    parent = find_parent(state.order, state.name)
    if parent is not None:
        peers.append(parent)
    if state.name in state.order and len(state.order) > 1:
        place = state.order.index(state.name)
        turn = 1 + state.requests_sent % (len(state.order) - 1)
        peers.append(state.order[(place + turn) % len(state.order)])
    if state.remote:
        turn = round(state.jitter * len(state.remote)) + state.requests_sent
        peers.append(state.remote[turn % len(state.remote)])
    return tuple(dict.fromkeys(peers))


def _update_role(state, now_ms):
    wanted, reason = _should_read(state, now_ms)
    if wanted == state.is_reader:
        return []
    state.is_reader = wanted
    return [SetStoreReader(wanted, reason)]


def _should_read(state, now_ms):
    has_all = (
        state.targets_revision
        and state.routes_version
        and state.evacuations.known
    )
    is_new = now_ms - state.started_ms < state.times.stale_ms
    if has_all and is_new and _is_confirmation_overdue(state, now_ms):
        return True, NOT_CONFIRMED
    if has_all and now_ms - state.started_ms < STARTUP_GRACE_MS:
        return False, 'started of late'
    if state.is_root:
        return True, 'root'
    if not has_all and now_ms - state.last_received_ms > state.times.silent_ms:
        # Who hears beats is fed as soon as the root knows.
        return True, 'nothing known'
    if is_new:
        # The others may still be learning who is there.
        return False, 'started of late'
    pause_ms = state.jitter * READ_JITTER_MS
    if now_ms - state.last_received_ms > state.times.silent_ms + pause_ms:
        return True, NO_HEARTBEAT
    late_ms = now_ms - state.last_confirmed_ms() - state.times.stale_ms
    if late_ms > pause_ms:
        levels = count_between(state.order, state.name)
        if late_ms > pause_ms + levels * LEVEL_DELAY_MS:
            return True, STALE_HEARTBEATS
    heartbeat_age_ms = now_ms - state.confirmed_ms
    if state.is_reader and heartbeat_age_ms > state.times.fresh_ms:
        return True, STALE_HEARTBEATS
    return False, 'fresh beats'


def _is_confirmation_overdue(state, now_ms):
    """Tell whether a newcomer serves too long by what it read at first.

    Those lists may lag by seconds, and a start takes seconds on a small
    instance, whose bounds hold from a fixed time after it was started on.
    """
    if state.last_confirmed_ms() >= state.process_ms:
        return False
    if now_ms - state.stale_peer_ms <= state.times.silent_ms:
        return False
    age_ms = now_ms - state.process_ms
    if state.is_reader:
        # The call that proves it is under way.
        return age_ms > RECHECK_DEADLINE_MS
    if state.requests_sent < REQUESTS_BEFORE_READ:
        # Those that it asks may know better.
        return False
    limit_ms = state.times.stale_ms - READ_MARGIN_MS
    return age_ms > limit_ms + state.jitter * READ_JITTER_MS


def make_heartbeat(state: DisseminationState, now_ms: int) -> Heartbeat:
    """Return the beat to send now, with the changes of late."""
    state.changes = [
        one
        for one in state.changes
        if now_ms - one.recorded_ms <= CHANGE_RETENTION_MS
    ]
    base, written, removed = _merge(state.changes)
    if len(written) + len(removed) > MAX_CHANGES:
        # Too much for a datagram: whoever is behind gets all of it.
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
    """Return one change that leads from the first base to the last."""
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
