"""Membership and state dissemination among the balancers of a deployment."""

import asyncio
import secrets

from attrs import frozen

from liftmount._internal.clock import seconds
from liftmount._internal.decisions import bootstrap
from liftmount._internal.decisions import dissemination
from liftmount._internal.decisions import freshness
from liftmount._internal.decisions import list_watch
from liftmount._internal.decisions import membership
from liftmount._internal.decisions import store_liveness
from liftmount._internal.decisions.list_watch import FreshnessTimes
from liftmount._internal.decisions.relay import relay_order
from liftmount._internal.decisions.stall_reports import StallSeen
from liftmount._internal.exceptions import HttpError
from liftmount._internal.exceptions import PacketError
from liftmount._internal.kernel import TickingService
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.envelopes import decode_peer
from liftmount._internal.models.feeds import DomainMembers
from liftmount._internal.models.feeds import Evacuated
from liftmount._internal.models.feeds import EVACUATIONS
from liftmount._internal.models.feeds import FeedFailed
from liftmount._internal.models.feeds import FeedUpdate
from liftmount._internal.models.feeds import ROUTES
from liftmount._internal.models.feeds import RouteUnknown
from liftmount._internal.models.feeds import TARGETS
from liftmount._internal.models.feeds import TargetUnknown
from liftmount._internal.models.flow_messages import PinNeeded
from liftmount._internal.models.flow_messages import RoutesConfirmed
from liftmount._internal.models.flow_messages import SharePins
from liftmount._internal.models.flow_messages import Stalled
from liftmount._internal.models.identity import make_incarnation
from liftmount._internal.models.identity import RANDOM_BITS
from liftmount._internal.models.members import Member
from liftmount._internal.models.members import MemberStatus
from liftmount._internal.models.peer_messages import decode_heartbeat
from liftmount._internal.models.peer_messages import decode_heartbeat_request
from liftmount._internal.models.peer_messages import decode_member
from liftmount._internal.models.peer_messages import decode_members
from liftmount._internal.models.peer_messages import encode_heartbeat
from liftmount._internal.models.peer_messages import encode_heartbeat_request
from liftmount._internal.models.peer_messages import encode_member
from liftmount._internal.models.peer_messages import encode_members
from liftmount._internal.models.peer_messages import is_heartbeat
from liftmount._internal.models.peer_messages import is_heartbeat_request
from liftmount._internal.models.peer_messages import is_stall_report
from liftmount._internal.models.pin_messages import is_pin_request
from liftmount._internal.models.pin_messages import is_pins
from liftmount._internal.models.records import Tick
from liftmount._internal.network.http import HttpServer
from liftmount._internal.network.http_messages import HTTP_NOT_FOUND
from liftmount._internal.network.http_messages import HTTP_OK
from liftmount._internal.network.http_messages import HttpAnswer
from liftmount._internal.network.udp import UdpSocket
from liftmount._internal.services.pin_exchange import PinExchange
from liftmount._internal.services.pulls import get_from_peer
from liftmount._internal.services.pulls import SnapshotPuller
from liftmount._internal.services.snapshots import SNAPSHOT_PATH
from liftmount._internal.services.snapshots import SnapshotServer
from liftmount._internal.services.stall_reporter import StallReporter
from liftmount._internal.services.store_prober import StoreProber

TICK_MS = 50
MEMBERS_PATH = '/members/'
# Consecutive failed calls before another member is to read the store.
MAX_FAILED_CALLS = 2
# Age of the local state from which pulls from other domains are allowed.
REMOTE_PULL_AGE_MS = 5_000
MAX_FAREWELLS = 3
# Peers whose invalid entries were logged; beyond it they are logged again.
MAX_REFUSED_OF = 1_024
VERSION_BYTES = 8


@frozen
class GroupOptions:
    """Identity and addresses of this balancer within the group.

    ``peer`` is the own address for other balancers, ``seeds`` are addresses
    of some of them.  ``jitter`` is between 0 and 1 and depends on the name.
    ``domain_count`` is the number of failure domains in the deployment.
    """

    name: str
    failure_domain: str
    peer: Endpoint
    seeds: tuple[Endpoint, ...]
    jitter: float
    times: FreshnessTimes
    domain_count: int = 1


class GroupService(TickingService):
    """Exchanges membership and store state with the other balancers.

    Owns the UDP and TCP sockets between balancers.  ``packets`` is the
    PacketService that applies received state, ``feeds`` are the
    FeedServices that read the store, ``probe`` asks whether it answers (see
    StoreProber).
    """

    name = 'group'
    tick_ms = TICK_MS

    def __init__(self, kernel, options, packets, feeds, probe, log, counters):
        super().__init__(kernel)
        self.options = options
        self.packets = packets
        self.store_cache = packets.path.store_cache
        self.feeds = feeds
        self.log = log
        self.counters = counters
        self.socket = None
        self.members = None
        self.dissemination = dissemination.DisseminationState(
            options.name,
            self.clock.now_ms(),
            options.jitter,
            options.times,
            process_started_ms=packets.path.started_ms,
        )
        self.freshness = freshness.FreshnessState()
        self._snapshot_server = SnapshotServer(
            self.store_cache, self.clock, counters
        )
        self._server = HttpServer(self._answer)
        self._failed_calls = 0
        self._refused_of = set()
        self._stall_reporter = StallReporter(
            options.name, self._send_to, self._eject, log, counters
        )
        self._prober = StoreProber(
            store_liveness.LivenessState(options.jitter, options.times),
            probe,
            self._on_liveness,
            lambda sent_ms: self.packets.path.link.is_busy(sent_ms),
            self.clock,
            log,
            counters,
        )
        self._pins = PinExchange(
            options.name,
            self.store_cache.state,
            self._send_to,
            lambda message: self.packets.post(message),
            self.clock,
            counters,
        )
        self._puller = SnapshotPuller(
            self.name, packets.path, counters, log, self._on_pull_ended
        )
        self._started_ms = self.clock.now_ms()

    # Sockets.

    async def start(self):
        """Bind the sockets and create the membership state."""
        options = self.options
        now_ms = self.clock.now_ms()
        incarnation = make_incarnation(
            self.clock.wall_ms(), secrets.randbits(RANDOM_BITS)
        )
        own = Member(
            name=options.name,
            failure_domain=options.failure_domain,
            peer=options.peer,
            control=options.peer,
            incarnation=incarnation,
        )
        self.members = membership.make_membership(
            own,
            membership.MembershipTimes(),
            options.seeds,
            now_ms,
            # Other domains are known by a few members only.
            compared_domain=options.failure_domain,
        )
        self._update_revisions()
        await self._server.start(options.peer)
        self.socket = await UdpSocket.bind(options.peer, self._on_datagram)
        for feed in self.feeds:
            feed.listeners.append(self.name)

    async def stop(self):
        """Close the sockets."""
        self._prober.close()
        self._server.close()
        if self.socket is not None:
            self.socket.close()

    def tasks(self):
        """Return the tick loop and the bootstrap task."""
        return [*super().tasks(), self._bootstrap()]

    async def _bootstrap(self):
        """Request member lists from seeds and members in several rounds."""
        waited_ms = 0
        for turn, at_ms in enumerate(bootstrap.ATTEMPT_TIMES_MS):
            await asyncio.sleep(seconds(at_ms - waited_ms))
            waited_ms = at_ms
            own = self.members.own
            local = [
                one
                for one in self.members.reachable()
                if one.failure_domain == own.failure_domain
            ]
            missing_answers = bootstrap.answers_needed(turn)
            for peer in bootstrap.peers_to_ask(
                own, turn, self.members.seeds, local
            ):
                missing_answers -= await self._request_members(peer)
                if not missing_answers:
                    break
        await asyncio.sleep(seconds(bootstrap.JOIN_COMPLETE_MS - waited_ms))
        self._update_relay_order()

    async def _request_members(self, peer):
        """Request a peer's member list; return whether it answered."""
        path = MEMBERS_PATH + encode_member(self.members.own).hex()
        try:
            members = decode_members(await get_from_peer(peer, path))
        except (HttpError, PacketError) as error:
            self.counters.count('retried.join_failed')
            self.log.write(
                self.name, 'join_failed', peer=str(peer), cause=str(error)
            )
            return False
        self._add_members(members, peer)
        self._pull_from_responder(peer)
        return True

    def _add_members(self, members, peer):
        """Add a list of members and log their number."""
        now_ms = self.clock.now_ms()
        learned = [
            one
            for one in membership.learn_all(self.members, members, now_ms)
            if isinstance(one, membership.MemberChanged)
        ]
        if not learned:
            return
        self.log.write(
            self.name, 'members_learned', peer=str(peer), count=len(learned)
        )
        self._update_relay_order()

    def _pull_from_responder(self, peer):
        """Pull missing state from the member that answered.

        The store may reject calls or send a list slowly; a snapshot from a
        member is compressed.
        """
        if self.store_cache.state.is_complete:
            return
        for member in self.members.reachable():
            if member.peer == peer:
                event = dissemination.PeerDiffers(
                    member.name, self.clock.now_ms()
                )
                self._execute(dissemination.decide(self.dissemination, event))

    def tick(self):
        """Run the time-based decisions."""
        tick = Tick(self.clock.now_ms())
        self._execute(membership.decide(self.members, tick))
        self._execute(dissemination.decide(self.dissemination, tick))
        self._execute(freshness.decide(self.freshness, tick))
        self._prober.decide(tick)
        self._stall_reporter.decide(tick)

    def _on_datagram(self, data, source):
        if self.socket is None:
            # Arrived while the socket was being bound; peers repeat it.
            self.counters.count('refused.not_started')
            return
        now_ms = self.clock.now_ms()
        try:
            if is_heartbeat(data):
                self._receive_heartbeat(data, now_ms)
                return
            if is_stall_report(data):
                self._stall_reporter.receive(data, now_ms)
                return
            if is_pins(data):
                self._pins.receive(data)
                return
            if is_pin_request(data):
                self._pins.answer(data)
                return
            if is_heartbeat_request(data):
                event = dissemination.HeartbeatRequested(
                    decode_heartbeat_request(data), now_ms
                )
                self._execute(dissemination.decide(self.dissemination, event))
                return
            event = membership.MessageArrived(
                decode_peer(data), Endpoint(*source[:2]), now_ms
            )
            self._execute(membership.decide(self.members, event))
        except PacketError:
            self.counters.count('refused.malformed_peer_message')

    def _receive_heartbeat(self, data, now_ms):
        heartbeat = decode_heartbeat(data)
        self._note_refused(heartbeat.sender, heartbeat.refused)
        event = dissemination.HeartbeatReceived(heartbeat, now_ms)
        self._execute(dissemination.decide(self.dissemination, event))

    def _note_refused(self, peer, count):
        """Log that entries of a peer were left out, once for each peer."""
        if not count:
            return
        self.counters.count('refused.invalid_peer_entry', count)
        if peer not in self._refused_of:
            if len(self._refused_of) >= MAX_REFUSED_OF:
                self._refused_of.clear()
            self._refused_of.add(peer)
            self.log.write(
                self.name, 'peer_entries_left_out', peer=peer, entries=count
            )

    def _answer(self, path):
        if path.startswith(MEMBERS_PATH):
            return self._answer_members(path.removeprefix(MEMBERS_PATH))
        if path.startswith(SNAPSHOT_PATH):
            answer = self._snapshot_server.answer(
                path.removeprefix(SNAPSHOT_PATH)
            )
            self.packets.path.record_transfer(len(answer.body))
            return answer
        return HttpAnswer(HTTP_NOT_FOUND, b'', {})

    def _answer_members(self, text):
        """Add the joining member and return the members it needs."""
        try:
            requester = decode_member(bytes.fromhex(text))
        except (ValueError, PacketError):
            self.counters.count('refused.malformed_peer_message')
            return HttpAnswer(HTTP_NOT_FOUND, b'', {})
        self.counters.count('members_given')
        self._add_members([requester], requester.peer)
        known = [self.members.own, *self.members.reachable()]
        returned = bootstrap.members_to_send(known, requester)
        return HttpAnswer(HTTP_OK, encode_members(returned), {})

    # Messages.

    def handle(self, message):
        """Process feed results, stalls and lookups of what is unknown."""
        match message:
            case FeedUpdate(feed, update):
                self._failed_calls = 0
                self._record_store_answer(feed, update)
                event = freshness.Answered(feed, update, self.clock.now_ms())
                self._execute(freshness.decide(self.freshness, event))
                # Last, as the answer may confirm other feeds.
                self._note_call_answered()
            case TargetUnknown() | RouteUnknown():
                self._execute(
                    dissemination.decide(self.dissemination, message)
                )
            case Stalled():
                event = StallSeen(
                    message.target, message.waited_ms, message.now_ms
                )
                self._stall_reporter.decide(event)
            case SharePins() | PinNeeded():
                self._pins.handle(message)
            case FeedFailed(feed):
                self._record_call_failed(feed)
            case _:
                super().handle(message)

    def _note_call_answered(self):
        now_ms = self.clock.now_ms()
        event = store_liveness.CallAnswered(
            self.dissemination.next_change_ms(), now_ms
        )
        self._prober.decide(event)

    def _record_call_failed(self, feed):
        event = dissemination.FeedLost(feed)
        self._execute(dissemination.decide(self.dissemination, event))
        self._failed_calls += freshness.count_affected_feeds(
            self.freshness, feed
        )
        if self._failed_calls >= MAX_FAILED_CALLS:
            failed = store_liveness.CallsFailed(self.clock.now_ms())
            self._prober.decide(failed)

    def _on_liveness(self, action):
        """Tell the others whether the store answers this balancer."""
        match action:
            case store_liveness.StoreAlive():
                self._execute(dissemination.decide(self.dissemination, action))
            case store_liveness.StoreDoubted():
                self._lose_feeds()
            case store_liveness.ReadAgain():
                self.counters.count('retried.read_again')
                self.kernel.post(TARGETS, list_watch.RefreshRequested())
            case store_liveness.StoreLost(failures):
                self.log.write('store', 'lost', failed_probes=failures)
                self._announce(has_platform=False)
                self._introduce_to_next()
            case store_liveness.StoreRegained(silent_ms):
                self.log.write('store', 'regained', silent_ms=silent_ms)
                self._announce(has_platform=True)

    def _lose_feeds(self):
        """Trust none of the watches that wait until they are answered."""
        for feed in self.feeds:
            event = dissemination.FeedLost(feed.name)
            dissemination.decide(self.dissemination, event)

    def _introduce_to_next(self):
        """Send the own record directly to those that read the store next."""
        for name in self.dissemination.order[:MAX_FAREWELLS]:
            member = self.members.members.get(name)
            if member is not None:
                self._execute(membership.farewell(self.members, member))

    def _eject(self, action):
        self.packets.path.eject(action.target, action.until_ms)

    def _record_store_answer(self, feed, update):
        event = dissemination.StoreAnswered(feed, update, self.clock.now_ms())
        self._execute(dissemination.decide(self.dissemination, event))
        self._update_digest()

    def set_store_address(self, address):
        """Replace the address at which the store is asked."""
        self._prober.set_address(address)

    def set_seeds(self, seeds):
        """Replace the seeds; they are probed while no member is known."""
        own = self.members.own.peer
        self.members.seeds = tuple(one for one in seeds if one != own)

    def announce_leaving(self):
        """Announce to the other members that a shutdown has begun."""
        self._announce(leaving=True)

    def say_farewell(self):
        """Announce to a few members directly that this one has left."""
        self._announce(status=MemberStatus.LEFT)
        for member in self.members.reachable()[:MAX_FAREWELLS]:
            self._execute(membership.farewell(self.members, member))

    def _announce(self, **changes):
        own = self.members.own
        if all(getattr(own, key) == value for key, value in changes.items()):
            return
        membership.announce(self.members, **changes)
        self._update_relay_order()

    def _update_relay_order(self):
        domain = self.options.failure_domain
        others = self.members.members.values()
        local = [one for one in others if one.failure_domain == domain]
        order = tuple(relay_order([self.members.own, *local]))
        remote = [one for one in others if one.failure_domain != domain]
        self.packets.post(
            DomainMembers(
                local=1 + sum(one.eligible for one in local),
                is_isolated=bool(remote)
                and not any(one.reachable for one in remote),
                fleet=self._estimate_fleet_size(local),
            )
        )
        is_reordered = order != self.dissemination.order
        names = tuple(one.name for one in remote if one.eligible)
        dissemination.decide(
            self.dissemination, dissemination.RelayOrderChanged(order, names)
        )
        keepers = [one.name for one in local if one.eligible]
        self._pins.set_members(tuple(keepers))
        live = [one.name for one in self.members.reachable()]
        self._stall_reporter.set_peers(tuple(live))
        if is_reordered:
            # The order is empty when the last member of a domain has left.
            root = order[0] if order else ''
            self.log.write(self.name, 'order', members=len(order), root=root)

    def _estimate_fleet_size(self, local):
        """Estimate the number of balancers; return 0 if it is unknown.

        Only the members of the own domain are all known, so their number is
        multiplied by the number of domains.
        """
        is_joined = (
            self.clock.now_ms() - self._started_ms
            >= bootstrap.JOIN_COMPLETE_MS
        )
        is_alone = not self.members.members and self.members.seeds
        if not is_joined or is_alone:
            return 0
        present = [one for one in local if one.status is not MemberStatus.LEFT]
        return self.options.domain_count * (1 + len(present))

    def _update_revisions(self):
        table = self.store_cache.state.table
        event = dissemination.RevisionsChanged(
            self.store_cache.directory.revision,
            self.store_cache.routes_revision,
            table.version if table else 0,
            self.store_cache.evacuations.known,
        )
        dissemination.decide(self.dissemination, event)
        self._update_digest()

    def _update_digest(self):
        version = self.dissemination.routes_version
        self.members.digest = version.to_bytes(VERSION_BYTES, 'big')

    # Actions.

    def _execute(self, actions):
        is_reordered = False
        for action in actions:
            match action:
                case membership.SendDatagram():
                    self._send(action.datagram, action.destination)
                case membership.MemberChanged(member):
                    self._log_member(member)
                    is_reordered = True
                case membership.DigestDiffers(member):
                    self._pull_from_other_domain(member)
                case membership.BudgetSpent():
                    self.counters.count('refused.control_budget_spent')
                case membership.UnknownSender():
                    self.counters.count('membership.unknown_sender')
                case membership.Stalled(stalled_ms):
                    self.counters.count('membership.stalled_ms', stalled_ms)
                    self.log.write(self.name, 'stalled', stalled_ms=stalled_ms)
                case membership.Refuted():
                    self._log_refuted(action)
                case membership.ListsDiffer():
                    self._log_difference(action)
                case _:
                    self._execute_dissemination(action)
        if is_reordered:
            self._update_relay_order()

    def _execute_dissemination(self, action):
        """Execute actions of dissemination and freshness."""
        match action:
            case dissemination.SendHeartbeat(heartbeat, children):
                self._send_heartbeat(heartbeat, children)
            case dissemination.RequestHeartbeat(peers):
                self.counters.count('retried.beat_asked')
                self._send_to(
                    encode_heartbeat_request(self.options.name), peers
                )
            case Evacuated() | RoutesConfirmed():
                self.packets.post(action)
            case dissemination.ApplyDelta(delta):
                self.packets.post(FeedUpdate(TARGETS, delta))
            case dissemination.Pull():
                self._pull(action)
            case dissemination.PollStore():
                self.kernel.post(TARGETS, list_watch.RefreshRequested())
            case dissemination.SetStoreReader():
                self._set_store_reader(action)
            case store_liveness.ProbeWanted():
                self._prober.decide(action)
            case freshness.Confirm(feed, delta):
                # Equivalent to a watch that reported no change.
                self.packets.post(FeedUpdate(feed, delta))
                self._record_store_answer(feed, delta)
                self.kernel.post(feed, list_watch.Confirmed(delta.revision))
            case freshness.ReadFeed(feed):
                self.counters.count('retried.not_confirmed')
                self.kernel.post(feed, list_watch.RefreshRequested())

    def _send(self, datagram, destination):
        self.counters.count('control_bytes', len(datagram))
        self.socket.send(datagram, destination.socket_address())

    def _log_member(self, member):
        self.log.write(
            self.name,
            'member',
            member=member.name,
            status=member.status.name.lower(),
            has_platform=member.has_platform,
            leaving=member.leaving,
        )

    def _log_refuted(self, action):
        self.counters.count('membership.refuted')
        self.log.write(
            self.name,
            'refuted',
            status=action.status.name.lower(),
            version=action.version,
        )

    def _log_difference(self, action):
        self.counters.count('membership.lists_differ')
        self.log.write(
            self.name,
            'lists_differ',
            peer=action.member.name,
            members=action.own_count,
        )

    def _send_to(self, datagram, names):
        for name in names:
            member = self.members.members.get(name)
            if member is not None:
                self._send(datagram, member.peer)

    def _send_heartbeat(self, heartbeat, children):
        try:
            data = encode_heartbeat(heartbeat)
        except Exception as error:
            # Values are checked as they come in; should one get through, it
            # must not end the process, nor keep others from the rest.
            self.counters.count('refused.unsendable_heartbeat')
            names = [one.name for one in heartbeat.written]
            self.log.write(
                self.name, 'unsendable', entries=names, cause=repr(error)
            )
            return
        self._send_to(data, children)

    def _set_store_reader(self, action):
        self.log.write(
            self.name,
            'reading' if action.is_reader else 'not_reading',
            reason=action.reason,
            root=self.dissemination.order[0]
            if self.dissemination.order
            else '',
            known_ms=self.clock.now_ms()
            - self.dissemination.last_confirmed_ms(),
        )
        # Use the revisions that the packet path has applied, not those still
        # queued: a watch from too high a revision would miss changes.
        revisions = {
            TARGETS: self.store_cache.directory.revision,
            ROUTES: self.store_cache.routes_revision,
            EVACUATIONS: self.store_cache.evacuations.revision,
        }
        freshness.decide(self.freshness, freshness.ReadingStarted())
        changed = store_liveness.ReaderChanged(
            action.is_reader, self.clock.now_ms()
        )
        self._prober.decide(changed)
        for feed in self.feeds:
            if action.is_reader:
                revision = revisions[feed.name] or None
                resumed = list_watch.Resumed(
                    revision,
                    action.is_fallback,
                    is_dependent=feed.name in freshness.DEPENDENT_FEEDS,
                )
                self.kernel.post(feed.name, resumed)
            else:
                self.kernel.post(feed.name, list_watch.Paused())

    def _pull_from_other_domain(self, member):
        now_ms = self.clock.now_ms()
        age_ms = now_ms - self.dissemination.last_confirmed_ms()
        is_incomplete = not self.store_cache.state.is_complete
        if is_incomplete or age_ms > REMOTE_PULL_AGE_MS:
            event = dissemination.PeerDiffers(member.name, now_ms)
            self._execute(dissemination.decide(self.dissemination, event))

    def _pull(self, action):
        member = self.members.members.get(action.peer)
        if member is None:
            event = dissemination.PullEnded(action.peer)
            self._execute(dissemination.decide(self.dissemination, event))
            return
        self._puller.start(member, action.scope)

    def _on_pull_ended(self, member, snapshot):
        event = dissemination.PullEnded(member.name)
        self._execute(dissemination.decide(self.dissemination, event))
        if snapshot is not None:
            self._apply_snapshot(member, snapshot)

    def _apply_snapshot(self, member, snapshot):
        self._note_refused(member.name, snapshot.refused)
        self.log.write(
            self.name,
            'pulled',
            peer=member.name,
            targets_revision=snapshot.targets_revision,
            version=snapshot.table.version if snapshot.table else None,
        )
        self.packets.post(snapshot)
        if snapshot.targets or snapshot.missing:
            known = list_watch.ListKnown(snapshot.targets_revision)
            self.kernel.post(TARGETS, known)
        if snapshot.table is not None:
            known = list_watch.ListKnown(snapshot.routes_revision)
            self.kernel.post(ROUTES, known)
        if snapshot.evacuated is not None:
            known = list_watch.ListKnown(snapshot.evacuated.revision)
            self.kernel.post(EVACUATIONS, known)
        event = dissemination.RevisionsChanged(
            max(
                self.dissemination.targets_revision, snapshot.targets_revision
            ),
            max(self.dissemination.routes_revision, snapshot.routes_revision),
            max(
                self.dissemination.routes_version,
                snapshot.table.version if snapshot.table else 0,
            ),
            snapshot.evacuated,
        )
        dissemination.decide(self.dissemination, event)
