"""Simulate a failure domain whose members all start at once.

The decisions of every member run in simulated time, over links whose
bandwidth is shared evenly by the transfers on them.
``./dev measure domain_start`` prints for each case the seconds until 90 %
and all of the members hold routes and targets, the calls to the store, the
members that read it, and the largest number of bytes received by a member.
"""

import argparse

from attrs import define
from attrs import Factory
from attrs import frozen

from liftmount._internal.decisions import dissemination
from liftmount._internal.decisions import list_watch
from liftmount._internal.models.feeds import Delta
from liftmount._internal.models.feeds import Evacuated
from liftmount._internal.models.feeds import EVACUATIONS
from liftmount._internal.models.feeds import Listing
from liftmount._internal.models.feeds import ROUTES
from liftmount._internal.models.feeds import TARGETS
from liftmount._internal.models.feeds import TargetUnknown
from liftmount._internal.models.records import Tick
from liftmount._internal.network.http import PROGRESS_TIMEOUT_MS
from liftmount._internal.services.entry import GROUP_DELAY_MS
from liftmount._internal.services.entry import STORE_WAIT_MS

STEP_MS = 10
TICK_MS = 50
# From joining the group to a complete list of members.
JOIN_DURATION_MS = 1_500
IMPORTS_MS = 200
SEEDS = 3
# Delay of a joining member's second request, see decisions/bootstrap.py.
RETRY_SNAPSHOT_MS = 1_000
ROUND_TRIP_MS = 4
SLOW_MS = 400
# Sizes of one object in the store's lists and in snapshots of peers.
STORED_BYTES = {ROUTES: 150, TARGETS: 300, EVACUATIONS: 100}
SNAPSHOT_BYTES = {ROUTES: 14, TARGETS: 35}
CALL_BYTES = 200
REVISION = 10
NONE_EVACUATED = Evacuated(frozenset(), REVISION)
STORE = 'store'
FEEDS = (ROUTES, TARGETS, EVACUATIONS)


@frozen
class Case:
    """Sizes of the domain and of its configuration, and faults of the store.

    ``trouble`` is one of TROUBLES and lasts for ``trouble_ms``.  With
    ``segments_wait``, segments of flows opened earlier wait for targets.
    """

    members: int = 40
    routes: int = 2_000
    targets: int = 220
    link_mbps: float = 20.0
    store_mbps: float = 1_000.0
    trouble: str = 'none'
    trouble_ms: int = 3_000
    segments_wait: bool = False

    def stored_bytes(self, feed: str) -> int:
        """Return the size of a whole list from the store."""
        counts = {ROUTES: self.routes, TARGETS: self.targets}
        return counts.get(feed, 0) * STORED_BYTES[feed] + CALL_BYTES

    def snapshot_bytes(self) -> int:
        """Return the size of a snapshot that a member sends to a peer."""
        return (
            self.routes * SNAPSHOT_BYTES[ROUTES]
            + self.targets * SNAPSHOT_BYTES[TARGETS]
        )


TROUBLES = ('none', 'slow', 'turns a third away', 'stops halfway')


@define
class Transfer:
    """Bytes in transit from a source to a member.

    ``on_done`` is called at the end, ``on_failed`` after a timeout.  A
    transfer with ``stalls_at_bytes`` makes no progress beyond that.
    """

    source: str
    size_bytes: float
    begins_ms: float
    on_done: object
    on_failed: object
    stalls_at_bytes: float = 0.0
    arrived_bytes: float = 0.0
    last_progress_ms: float = 0.0


@define
class Member:
    """A balancer that has just started.

    ``due_calls`` and ``transfers`` are by feed; ``held_since_ms`` has the
    feeds that the member holds.
    """

    name: str
    started_ms: int
    list_watches: dict = Factory(dict)
    due_calls: dict = Factory(dict)
    transfers: dict = Factory(dict)
    dissemination_state: dissemination.DisseminationState | None = None
    group_ms: int | None = None
    held_since_ms: dict = Factory(dict)
    received_bytes: float = 0.0

    @property
    def is_complete(self) -> bool:
        """Whether the member holds all feeds, so that it can place flows."""
        return len(self.held_since_ms) == len(FEEDS)


class DomainStart:
    """A simulated start of all members of a domain."""

    def __init__(self, case: Case):
        self.case = case
        self.now_ms = 0
        self.calls = dict.fromkeys(FEEDS, 0)
        self.lists = 0
        self.heartbeats = []
        self.members = {}
        for index in range(case.members):
            name = f'm{index:04}'
            share = index / max(1, case.members)
            member = Member(name, round(300 * share))
            for feed in FEEDS:
                state = list_watch.ListWatchState(jitter=share)
                member.list_watches[feed] = state
            self.members[name] = member

    def run(self, until_ms: int) -> None:
        """Advance the simulated time in steps."""
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            for member in self.members.values():
                self._step(member)
            self._advance_transfers()
            heartbeats, self.heartbeats = self.heartbeats, []
            for name, heartbeat in heartbeats:
                member = self.members[name]
                if member.dissemination_state is not None:
                    event = dissemination.HeartbeatReceived(
                        heartbeat, self.now_ms
                    )
                    self._decide_dissemination(member, event)

    def completed_after_ms(self, share: float) -> float:
        """Return the time until a share of members held all; else inf."""
        times = sorted(
            max(one.held_since_ms.values()) - one.started_ms
            if one.is_complete
            else float('inf')
            for one in self.members.values()
        )
        return times[max(0, round(share * len(times)) - 1)]

    def max_received_bytes(self) -> float:
        """Return the largest number of bytes received by a member."""
        return max(one.received_bytes for one in self.members.values())

    def count_readers(self) -> int:
        """Return the number of list-watches that read the store now."""
        return sum(
            not state.is_paused
            for member in self.members.values()
            for state in member.list_watches.values()
        )

    # Timers and decisions of a member.

    def _step(self, member):
        if self.now_ms < member.started_ms:
            return
        if (
            not member.due_calls
            and not member.transfers
            and not member.held_since_ms
        ):
            for feed in FEEDS:
                self._decide_list_watch(
                    member, feed, list_watch.ListInProgress()
                )
        for feed, (at_ms, call) in list(member.due_calls.items()):
            if self.now_ms >= at_ms:
                del member.due_calls[feed]
                self._call_store(member, feed, call)
        if member.group_ms is None:
            self._join_group(member)
            return
        if self.now_ms - member.group_ms == RETRY_SNAPSHOT_MS:
            self._request_snapshot(member, 1)
        if self.case.segments_wait and TARGETS not in member.held_since_ms:
            self._decide_dissemination(member, TargetUnknown(self.now_ms))
        if self.now_ms % TICK_MS == 0:
            if self.now_ms - member.group_ms >= JOIN_DURATION_MS:
                order = tuple(
                    one.name
                    for one in self.members.values()
                    if one.group_ms is not None
                )
                self._decide_dissemination(
                    member, dissemination.RelayOrderChanged(order)
                )
            self._decide_dissemination(member, Tick(self.now_ms))

    def _join_group(self, member):
        waited_ms = self.now_ms - member.started_ms
        if member.is_complete:
            held_since_ms = max(member.held_since_ms.values())
            if self.now_ms - held_since_ms < GROUP_DELAY_MS + IMPORTS_MS:
                return
        elif waited_ms < STORE_WAIT_MS + IMPORTS_MS:
            return
        member.group_ms = self.now_ms
        share = int(member.name[1:]) / len(self.members)
        member.dissemination_state = dissemination.DisseminationState(
            member.name,
            self.now_ms,
            share,
            process_started_ms=member.started_ms,
        )
        self._report_revisions(member)
        self._request_snapshot(member, 0)

    def _request_snapshot(self, member, turn):
        """Request a snapshot from a seed while feeds are missing."""
        if member.is_complete:
            return
        seeds = [
            one
            for one in list(self.members.values())[:SEEDS]
            if one.group_ms is not None and one is not member
        ]
        if seeds:
            seed = seeds[(int(member.name[1:]) // SEEDS + turn) % len(seeds)]
            event = dissemination.PeerDiffers(seed.name, self.now_ms)
            self._decide_dissemination(member, event)

    def _decide_list_watch(self, member, feed, event):
        for action in list_watch.decide(member.list_watches[feed], event):
            match action:
                case list_watch.Cancel():
                    member.due_calls.pop(feed, None)
                    member.transfers.pop(feed, None)
                case list_watch.Finish():
                    member.due_calls[feed] = (self.now_ms, action)
                case list_watch.List() | list_watch.Watch():
                    at_ms = self.now_ms + action.after_ms
                    member.due_calls[feed] = (at_ms, action)

    def _decide_dissemination(self, member, event):
        for action in dissemination.decide(member.dissemination_state, event):
            match action:
                case dissemination.SendHeartbeat():
                    self.heartbeats += [
                        (child, action.heartbeat) for child in action.children
                    ]
                case dissemination.RequestHeartbeat():
                    for peer in action.peers:
                        self._request_heartbeat(member, self.members[peer])
                case dissemination.SetStoreReader():
                    for feed in FEEDS:
                        known = (
                            REVISION if feed in member.held_since_ms else None
                        )
                        reader_event = list_watch.Paused()
                        if action.is_reader:
                            reader_event = list_watch.Resumed(
                                known, action.is_fallback
                            )
                        self._decide_list_watch(member, feed, reader_event)
                case dissemination.PollStore():
                    self._decide_list_watch(
                        member, TARGETS, list_watch.RefreshRequested()
                    )
                case dissemination.Pull():
                    self._pull(member, self.members[action.peer])

    def _request_heartbeat(self, member, peer):
        if peer.dissemination_state is not None:
            event = dissemination.HeartbeatRequested(member.name, self.now_ms)
            self._decide_dissemination(peer, event)

    # Calls to the store and transfers.

    def _call_store(self, member, feed, call):
        case = self.case
        self.calls[feed] += 1
        is_watch = isinstance(call, list_watch.Watch)
        self.lists += not is_watch
        in_trouble = self.now_ms < case.trouble_ms
        wait_ms = ROUND_TRIP_MS + (call.wait_ms if is_watch else 0)
        if in_trouble and case.trouble == 'slow':
            wait_ms += SLOW_MS
        is_third = int(member.name[1:]) % 3 == 0
        if in_trouble and case.trouble == 'turns a third away' and is_third:
            self._decide_list_watch(
                member, feed, list_watch.CallFailed('turned away')
            )
            return
        size_bytes = CALL_BYTES if is_watch else case.stored_bytes(feed)

        def done():
            items = () if feed == EVACUATIONS else (_Version(),)
            update = Listing(items, REVISION, may_lag=True)
            event = list_watch.Listed(REVISION)
            if isinstance(call, list_watch.Finish):
                event = list_watch.Finished(REVISION)
            if is_watch:
                update = Delta((), (), REVISION, REVISION)
                event = list_watch.Changed(REVISION, 0)
            self._record_held(member, [feed])
            if member.dissemination_state is not None:
                answered = dissemination.StoreAnswered(
                    feed, update, self.now_ms
                )
                self._decide_dissemination(member, answered)
                self._report_revisions(member)
            self._decide_list_watch(member, feed, event)

        def failed():
            self._decide_list_watch(
                member, feed, list_watch.CallFailed('no progress')
            )

        transfer = Transfer(
            STORE, size_bytes, self.now_ms + wait_ms, done, failed
        )
        if in_trouble and case.trouble == 'stops halfway':
            transfer.stalls_at_bytes = size_bytes / 2
        member.transfers[feed] = transfer

    def _pull(self, member, peer):
        if not peer.is_complete:
            self._decide_dissemination(
                member, dissemination.PullEnded(peer.name)
            )
            return

        def ended():
            self._decide_dissemination(
                member, dissemination.PullEnded(peer.name)
            )

        def done():
            ended()
            self._record_held(member, FEEDS)
            self._report_revisions(member)
            for feed in FEEDS:
                self._decide_list_watch(
                    member, feed, list_watch.ListKnown(REVISION)
                )

        transfer = Transfer(
            peer.name,
            self.case.snapshot_bytes(),
            self.now_ms + ROUND_TRIP_MS,
            done,
            ended,
        )
        member.transfers['pull'] = transfer

    def _record_held(self, member, feeds):
        for feed in feeds:
            member.held_since_ms.setdefault(feed, self.now_ms)

    def _report_revisions(self, member):
        event = dissemination.RevisionsChanged(
            REVISION if TARGETS in member.held_since_ms else 0,
            REVISION if ROUTES in member.held_since_ms else 0,
            1 if ROUTES in member.held_since_ms else 0,
            NONE_EVACUATED if EVACUATIONS in member.held_since_ms else None,
        )
        dissemination.decide(member.dissemination_state, event)

    def _advance_transfers(self):
        case = self.case
        moving = [
            (member, key, one)
            for member in self.members.values()
            for key, one in member.transfers.items()
            if self.now_ms >= one.begins_ms
        ]
        sending = {}
        receiving = {}
        for member, _key, one in moving:
            sending[one.source] = sending.get(one.source, 0) + 1
            receiving[member.name] = receiving.get(member.name, 0) + 1
        for member, key, one in moving:
            source_mbps = case.link_mbps
            if one.source == STORE:
                source_mbps = case.store_mbps
            rate_mbps = min(
                source_mbps / sending[one.source],
                case.link_mbps / receiving[member.name],
            )
            # A transfer that ended in this step may have cancelled it.
            if member.transfers.get(key) is one:
                self._advance_transfer(
                    member, key, one, rate_mbps * 125 * STEP_MS
                )

    def _advance_transfer(self, member, key, one, step_bytes):
        if not one.last_progress_ms:
            one.last_progress_ms = self.now_ms
        end = one.stalls_at_bytes or one.size_bytes
        moved = min(step_bytes, end - one.arrived_bytes)
        one.arrived_bytes += moved
        member.received_bytes += moved
        if moved:
            one.last_progress_ms = self.now_ms
        if one.arrived_bytes >= one.size_bytes:
            del member.transfers[key]
            one.on_done()
        elif self.now_ms - one.last_progress_ms >= PROGRESS_TIMEOUT_MS:
            del member.transfers[key]
            one.on_failed()


@frozen
class _Version:
    """The part of a configuration that dissemination reads."""

    version: int = 1


CASES = tuple(
    [
        Case(link_mbps=rate, routes=routes)
        for rate in (2.0, 5.0, 20.0)
        for routes in (100, 2_000, 20_000)
    ]
    + [Case(members=count) for count in (1, 40, 400)]
    + [Case(trouble=trouble) for trouble in TROUBLES]
    + [
        Case(targets=3_000, link_mbps=5.0, segments_wait=is_waiting)
        for is_waiting in (False, True)
    ]
)


def main(arguments) -> int:
    """Run all cases and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=int, default=15)
    options = parser.parse_args(arguments)
    print(
        'members routes  Mbps trouble              '
        '90% s  all s  calls lists readers  MB'
    )
    for case in CASES:
        start = DomainStart(case)
        start.run(1_000 * options.seconds)
        print(
            f'{case.members:7} {case.routes:6} {case.link_mbps:5} '
            f'{case.trouble:20}'
            f'{start.completed_after_ms(0.9) / 1_000:6.2f} '
            f'{start.completed_after_ms(1.0) / 1_000:6.2f} '
            f'{sum(start.calls.values()):6} {start.lists:5} '
            f'{start.count_readers():7} '
            f'{start.max_received_bytes() / 1e6:5.2f}'
        )
    return 0
