"""The path of packets: one socket, the flows, and what is believed."""

import asyncio
import socket
from zlib import crc32

from liftmount._internal.clock import seconds
from liftmount._internal.decisions import directory
from liftmount._internal.decisions import forwarding
from liftmount._internal.decisions import overflow
from liftmount._internal.decisions import target_health
from liftmount._internal.decisions.flow_table import domain_loads
from liftmount._internal.decisions.flow_table import former_targets
from liftmount._internal.decisions.flow_table import ForwardingState
from liftmount._internal.decisions.leaving import LeavingState
from liftmount._internal.exceptions import PacketError
from liftmount._internal.kernel import Service
from liftmount._internal.models import flow_messages as flows
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.feeds import Knowledge
from liftmount._internal.models.feeds import Listing
from liftmount._internal.models.feeds import ROUTES
from liftmount._internal.models.feeds import TargetUnknown
from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message
from liftmount._internal.models.ticks import Tick
from liftmount._internal.services.feeds import FeedFailed
from liftmount._internal.services.feeds import FeedNews
from liftmount._internal.services.probes import probe

TICK_MS = 20
OVERFLOW_MS = 200
RECEIVE_BYTES = 2_048
# Datagrams read at one wake-up before others get a turn.
BATCH = 64
BUFFER_BYTES = 4 * 1_048_576


@message
class DomainMembers(Message):
    """Live members of the own domain; isolated if no other one lives."""

    near: int
    is_isolated: bool


class PacketService(Service):
    """Owns the socket for packets and all that is believed.

    ``codec`` has ``read(datagram)``, ``forwarded(action)`` and
    ``reset(action)``; ``bound`` is the socket if it is bound already.
    """

    name = 'packets'

    def __init__(self, kernel, codec, options, log, counters, bound=None):
        super().__init__(kernel)
        self._codec = codec
        self._options = options
        self._log = log
        self._counters = counters
        self._socket = bound
        self._probes = set()
        self.leaving: LeavingState | None = None
        self.directory = directory.DirectoryState()
        self.routes_revision = 0
        self.overflow = overflow.OverflowState()
        self._domain = DomainMembers(1, False)
        self._next_overflow_ms = 0
        self.state = ForwardingState(
            options.failure_domain,
            options.flow_max_age_ms,
            seed=crc32(options.name.encode()) or 1,
        )

    def why_not_ready(self) -> str:
        """Return why no packets should come here; empty when they may."""
        if self.leaving is not None:
            self.leaving.refused()
            return 'stopping'
        if self.overflow.is_out:
            return 'clients are handed to other domains'
        if self.state.table is None:
            return 'no configuration yet'
        if not self.state.has_targets:
            return 'no targets yet'
        return ''

    def leave(self, until_ms: int) -> None:
        """Begin a planned stop that ends at ``until_ms`` at the latest."""
        self.leaving = LeavingState(self.clock.now_ms(), until_ms)

    async def start(self):
        """Bind the socket; packets wait in it until routes are known."""
        if self._socket is None:
            address: Endpoint = self._options.packets
            self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self._socket.bind(address.socket_address())
        self._socket.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self._socket.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._on_readable)

    async def stop(self):
        """Close the socket."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._socket.close()

    async def run(self):
        """Handle messages and let time pass."""
        async with asyncio.TaskGroup() as group:
            group.create_task(super().run())
            group.create_task(self._tick_forever())

    async def _tick_forever(self):
        while True:
            await asyncio.sleep(seconds(TICK_MS))
            tick = Tick(self.clock.now_ms())
            self._believe(directory.decide(self.directory, tick))
            self._execute(forwarding.decide(self.state, tick))
            health = self.state.health
            self._execute(target_health.decide(health, tick))
            self._check_overflow(tick.now_ms)

    def _check_overflow(self, now_ms):
        """See whether the domain can carry its clients."""
        if now_ms < self._next_overflow_ms:
            return
        self._next_overflow_ms = now_ms + OVERFLOW_MS
        event = overflow.DomainSeen(
            domain_loads(self.state, self._domain.near, now_ms),
            self._domain.is_isolated,
            self.state.far_seen_ms,
            now_ms,
        )
        for action in overflow.decide(self.overflow, event):
            name = 'handed_over' if action.is_out else 'taken_back'
            self._log.write('domain', name, reason=action.reason)
            self._counters.count(f'domain.{name}')

    def _on_readable(self):
        now_ms = self.clock.now_ms()
        for _ in range(BATCH):
            try:
                datagram = self._socket.recv(RECEIVE_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # What an earlier datagram met; the next read goes on.
                self._counters.count(f'socket_error.{error.errno}')
                continue
            try:
                segment = self._codec.read(datagram)
            except PacketError:
                self._counters.count('refused.malformed_packet')
                continue
            if self.leaving is not None:
                self.leaving.packet(now_ms)
            event = flows.SegmentArrived(segment, now_ms)
            self._execute(forwarding.decide(self.state, event))

    # What the store tells.

    def handle(self, posted):
        """Take over what a feed or the group tells."""
        now_ms = self.clock.now_ms()
        match posted:
            case FeedNews():
                self._take(posted, now_ms)
            case Knowledge():
                self._take_knowledge(posted, now_ms)
            case DomainMembers():
                self._domain = posted
            case FeedFailed():
                lost = directory.StoreLost(now_ms)
                directory.decide(self.directory, lost)
            case _:
                super().handle(posted)

    def _take(self, posted, now_ms):
        news = posted.news
        is_listing = isinstance(news, Listing)
        items = news.items if is_listing else news.written
        if posted.feed == ROUTES:
            for table in items:
                self._take_routes(table, now_ms)
            self.routes_revision = max(self.routes_revision, news.revision)
        elif is_listing:
            event = directory.TargetsListed(items, news.revision, now_ms)
            self._settle(directory.decide(self.directory, event), now_ms)
        else:
            event = directory.TargetsChanged(
                items, news.removed, news.revision, now_ms
            )
            self._settle(directory.decide(self.directory, event), now_ms)

    def _take_knowledge(self, known, now_ms):
        """Take over all that a peer knows."""
        for one in known.former:
            until_ms = now_ms + one.left_ms
            event = flows.FormerTarget(one.entry, until_ms)
            self._execute(forwarding.decide(self.state, event))
        if known.targets or known.doubted:
            event = directory.TargetsListed(
                known.targets, known.targets_revision, now_ms, known.doubted
            )
            self._settle(directory.decide(self.directory, event), now_ms)
        if known.table is not None:
            self._take_routes(known.table, now_ms)
            self.routes_revision = max(
                self.routes_revision, known.routes_revision
            )

    def knowledge(self, revision: int = 0, version: int = 0) -> Knowledge:
        """Return what somebody does not know yet.

        It knows targets up to ``revision`` and routes of ``version``.
        """
        now_ms = self.clock.now_ms()
        table = self.state.table
        if table is not None and table.version <= version:
            table = None
        if revision and self.directory.revision <= revision:
            return Knowledge((), 0, table, self.routes_revision)
        return Knowledge(
            targets=self.directory.listed(),
            targets_revision=self.directory.revision,
            table=table,
            routes_revision=self.routes_revision,
            doubted=self.directory.doubts(now_ms),
            former=former_targets(self.state, now_ms),
        )

    def _settle(self, actions, now_ms):
        self._believe(actions)
        event = flows.TargetsSettled(now_ms)
        self._execute(forwarding.decide(self.state, event))

    def _take_routes(self, table, now_ms):
        before = self.state.table
        event = flows.RoutesChanged(table, now_ms)
        self._execute(forwarding.decide(self.state, event))
        self._log.write(
            'routes',
            'configuration',
            version=table.version,
            in_force=self.state.table.version,
            before=before.version if before else None,
            routes=len(table.routes),
        )

    def _believe(self, actions):
        now_ms = self.clock.now_ms()
        for action in actions:
            match action:
                case directory.EntryBelieved(entry):
                    event = flows.TargetPut(entry, now_ms)
                    self._log_target('believed', entry)
                case directory.EntryDoubted(entry):
                    event = flows.TargetPut(entry, now_ms, True)
                    self._log_target('doubted', entry)
                case directory.EntryGone(entry):
                    event = flows.TargetRemoved(entry.name, now_ms)
                    self._log_target('gone', entry)
            self._execute(forwarding.decide(self.state, event))

    def _log_target(self, event, entry):
        self._log.write(
            'targets',
            event,
            target=entry.name,
            service=entry.service,
            endpoint=str(entry.endpoint),
            draining=entry.draining,
            warm_up_ms=entry.warm_up_ms,
            revision=self.directory.revision,
        )

    # What is decided.

    def _execute(self, actions):
        for action in actions:
            match action:
                case flows.Forward():
                    self._send(
                        self._codec.forwarded(action),
                        action.target.endpoint.socket_address(),
                    )
                case flows.Placed():
                    self._log_placed(action)
                case flows.Answered():
                    self._counters.observe(
                        'open_ms', action.latency_ms, action.route.name
                    )
                case flows.Refuse():
                    self._refuse(action)
                case flows.Drop():
                    self._drop(action)
                case flows.TargetsNeeded():
                    self._ask_for_target()
                case target_health.SendProbe():
                    self._start_probe(action.target)
                case target_health.TargetJudged():
                    self._judge(action)
                case target_health.TargetSilent():
                    self._counters.count('silence')
                    self._assess(action)
                case target_health.TargetSeen():
                    self._assess(action)

    def _ask_for_target(self):
        """Have somebody look for a target that a segment waits for."""
        self._counters.count('retried.unknown_tag')
        if 'group' in self.kernel.services:
            event = TargetUnknown(self.clock.now_ms())
            self.kernel.post('group', event)

    def _assess(self, event):
        self._execute(target_health.decide(self.state.health, event))

    def _send(self, datagram, destination):
        try:
            self._socket.sendto(datagram, destination)
        except BlockingIOError:
            self._counters.count('refused.link_full')
        except OSError as error:
            self._counters.count(f'socket_error.{error.errno}')

    def _refuse(self, action):
        self._counters.count(f'refused.{action.reason.value}')
        self._log.write(
            'flows',
            'reset',
            flow=action.flow.hex(),
            client=str(action.client),
            address=str(action.address),
            reason=action.reason.value,
            target=action.target,
            version=self.state.table.version,
        )
        destination = (action.client.ip, self._options.packets.port)
        self._send(self._codec.reset(action), destination)

    def _drop(self, action):
        segment = action.segment
        self._counters.count(f'dropped.{action.reason.value}')
        self._log.write(
            'flows',
            'dropped',
            flow=segment.flow.hex(),
            client=str(segment.client),
            address=str(segment.address),
            reason=action.reason.value,
            tag=segment.tag,
        )

    def _log_placed(self, action):
        self._counters.count(f'placed.{action.route.kind.value}')
        if action.tries > 1:
            self._counters.count('retried.opening')
        self._log.write(
            'flows',
            'placed',
            flow=action.segment.flow.hex(),
            client=str(action.segment.client),
            route=action.route.name,
            target=action.target.name,
            tries=action.tries,
            load=round(action.load, 2),
            version=self.state.table.version,
            revision=self.directory.revision,
        )

    # Probes.

    def _start_probe(self, target):
        self._counters.count('probes')
        task = asyncio.create_task(self._probe(target))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _probe(self, target):
        entry = self.state.tags.entries.get(target)
        if entry is None:
            self.state.health.forget(target)
            return
        path = self.state.table.health_paths.get(entry.service, '/')
        result = await probe(self.clock, entry, path)
        event = target_health.ProbeEnded(target, result, self.clock.now_ms())
        self._log.write('probes', 'ended', target=target, result=result.value)
        self._assess(event)

    def _judge(self, action):
        event = 'dead' if action.is_dead else 'alive'
        self._log.write(
            'targets', event, target=action.target, probes=action.probes
        )
        died = flows.TargetDied(
            action.target, action.is_dead, self.clock.now_ms()
        )
        self._execute(forwarding.decide(self.state, died))
