"""The packet path: receive, decide and forward on one non-blocking socket.

It runs without an event loop, so that packets are forwarded before asyncio
is imported.  The owner calls ``read`` when the socket is readable and
``tick`` every TICK_MS, and starts the probes in ``pending_probes``.
"""

from zlib import crc32

from liftmount._internal.clock import Clock
from liftmount._internal.clock import NEVER_MS
from liftmount._internal.decisions import forwarding
from liftmount._internal.decisions import overflow
from liftmount._internal.decisions import target_health
from liftmount._internal.decisions.flow_table import domain_loads
from liftmount._internal.decisions.flow_table import ForwardingState
from liftmount._internal.decisions.flow_table import is_probe_wanted
from liftmount._internal.decisions.flow_table import may_be_finishing
from liftmount._internal.decisions.link_monitor import LinkMonitor
from liftmount._internal.decisions.route_absence import RouteAbsence
from liftmount._internal.decisions.slow_start import Fleet
from liftmount._internal.exceptions import PacketError
from liftmount._internal.models import flow_messages as flows
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.feeds import DomainMembers
from liftmount._internal.models.records import Tick
from liftmount._internal.services.store_cache import StoreCache
from liftmount._internal.utils.raw_sockets import make_socket
from liftmount._internal.utils.raw_sockets import RawSocket
from liftmount._internal.utils.raw_sockets import SO_RCVBUF
from liftmount._internal.utils.raw_sockets import SO_SNDBUF
from liftmount._internal.utils.raw_sockets import SOCK_DGRAM
from liftmount._internal.utils.raw_sockets import SOL_SOCKET

TICK_MS = 20
OVERFLOW_CHECK_MS = 200
MAX_DATAGRAM_BYTES = 2_048
# Datagrams per wake-up; bounds the delay of other tasks.
MAX_BATCH_DATAGRAMS = 64
SOCKET_BUFFER_BYTES = 4 * 1_048_576


def bind_packet_socket(
    address: Endpoint, bound: RawSocket | None = None
) -> RawSocket:
    """Return the non-blocking packet socket, with enlarged buffers.

    ``bound`` is a socket that was bound earlier; it is closed and replaced
    if its address differs from ``address``.  Raises OSError if the address
    can't be bound.
    """
    if bound is not None and bound.getsockname() != address.socket_address():
        bound.close()
        bound = None
    if bound is None:
        bound = make_socket(SOCK_DGRAM)
        bound.bind(address.socket_address())
    bound.setblocking(False)
    for option in (SO_RCVBUF, SO_SNDBUF):
        bound.setsockopt(SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
    return bound


class PacketPath:
    """Owns the packet socket and executes the forwarding decisions.

    ``codec`` has ``read(datagram)``, ``encode_forward(action)`` and
    ``encode_reset(action)``; ``options`` are EntrySettings.
    ``pending_probes`` holds a SendProbe for each probe that the owner has to
    start.
    ``shutdown`` is a ShutdownState once a graceful shutdown has begun.
    """

    def __init__(self, clock: Clock, codec, options, log, counters, bound):
        self.clock = clock
        self.started_ms = clock.now_ms()
        self.socket = bound
        self.pending_probes = []
        self.shutdown = None
        self.overflow = overflow.OverflowState()
        self.members = DomainMembers(1, False)
        self.link = LinkMonitor(options.link_megabits_per_s)
        self.state = ForwardingState(
            options.failure_domain,
            options.flow_max_age_ms,
            seed=crc32(options.name.encode()) or 1,
            evacuated=None,
            regions=options.regions,
            fleet=Fleet(options.name),
            absence=RouteAbsence(options.change_bound_ms),
        )
        if options.reports_stalls:
            self.state.watch_stalls()
        self.store_cache = StoreCache(self.state, log)
        self.on_unknown_target = None
        self.on_unknown_route = None
        self.on_pins = None
        self.on_stall = None
        self._codec = codec
        self._client_port = options.packets.port
        self._log = log
        self._counters = counters
        self._next_overflow_check_ms = 0
        # Time of the current batch or tick; saves a clock read per packet.
        self._now_ms = 0

    def get_unready_reason(self) -> str:
        """Return why this balancer is not ready, or '' if it is.

        Each call during a graceful shutdown counts as one refused check.
        """
        if self.shutdown is not None:
            self.shutdown.record_refusal()
            return 'stopping'
        if self.overflow.is_handed_over:
            return 'clients are handed to other domains'
        if self.state.table is None:
            return 'no configuration yet'
        if not self.state.has_targets:
            return 'no targets yet'
        if self.state.evacuated is None:
            return 'evacuations are not known yet'
        return ''

    def set_members(self, members: DomainMembers) -> None:
        """Set the live members of the own failure domain."""
        self.members = members
        self.state.fleet.balancers = members.fleet

    def begin_shutdown(self, until_ms: int) -> None:
        """Begin a graceful shutdown, which ends by ``until_ms``."""
        # Not needed at startup, so imported here.
        from liftmount._internal.decisions.shutdown import ShutdownState

        self.shutdown = ShutdownState(self.clock.now_ms(), until_ms)
        handed_over = forwarding.decide(self.state, flows.PinsHandedOver())
        self.execute(handed_over)

    def read(self) -> None:
        """Process one batch of the packets that are queued in the socket."""
        now_ms = self._now_ms = self.clock.now_ms()
        for _ in range(MAX_BATCH_DATAGRAMS):
            try:
                datagram = self.socket.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # Pending ICMP error of an earlier send; keep reading.
                self._counters.count(f'socket_error.{error.errno}')
                continue
            self.link.received(len(datagram), now_ms)
            try:
                segment = self._codec.read(datagram)
            except PacketError:
                self._counters.count('refused.malformed_packet')
                continue
            if self.shutdown is not None:
                self.shutdown.record_packet(now_ms)
            event = flows.SegmentArrived(segment, now_ms)
            self.execute(forwarding.decide(self.state, event))

    def tick(self) -> None:
        """Run the time-based decisions."""
        tick = Tick(self.clock.now_ms())
        self._now_ms = tick.now_ms
        self._check_link(tick.now_ms)
        self.execute(self.store_cache.expire_entries(tick))
        self.execute(forwarding.decide(self.state, tick))
        self.execute(target_health.decide(self.state.health, tick))
        self._check_overflow(tick.now_ms)

    def _check_link(self, now_ms):
        """Update whether the own link is busy and log changes."""
        is_busy = self.link.is_busy(now_ms)
        if is_busy != self.state.health.is_link_busy:
            self._update_health(target_health.LinkStateChanged(is_busy))
            self._log.write(
                'link',
                'busy' if is_busy else 'free',
                inward_waits_ms=round(self.link.inbound.queued_ms),
                outward_waits_ms=round(self.link.outbound.queued_ms),
            )

    def _check_overflow(self, now_ms):
        """Check whether the own domain can carry the load of its clients."""
        if now_ms < self._next_overflow_check_ms:
            return
        self._next_overflow_check_ms = now_ms + OVERFLOW_CHECK_MS
        event = overflow.DomainObserved(
            domain_loads(self.state, self.members.local, now_ms),
            self.members.is_isolated,
            self.state.remote_progress_ms,
            now_ms,
        )
        for action in overflow.decide(self.overflow, event):
            name = 'handed_over' if action.is_handed_over else 'taken_back'
            self._log.write('domain', name, reason=action.reason)
            self._counters.count(f'domain.{name}')

    def record_transfer(self, size_bytes: int = 0, lasted_ms: int = 0) -> None:
        """Account for traffic on the own link other than packets."""
        self.link.transferred(size_bytes, lasted_ms, self.clock.now_ms())

    def handle_probe_result(
        self, sent: target_health.SendProbe, result
    ) -> None:
        """Log the result of a probe and update the target's health."""
        now_ms = self.clock.now_ms()
        if not self._is_conclusive(sent, result, now_ms):
            result = target_health.ProbeResult.UNPROVEN
        self._log.write(
            'probes',
            'ended',
            target=sent.target,
            result=result.value,
            took_ms=now_ms - sent.sent_ms,
        )
        event = target_health.ProbeEnded(
            sent.target, result, sent.sent_ms, now_ms
        )
        self._update_health(event)

    def _is_conclusive(self, sent, result, now_ms):
        """Return whether a probe result may count against a target."""
        match result:
            case target_health.ProbeResult.SILENT:
                return not self.link.is_busy(sent.sent_ms)
            case target_health.ProbeResult.REFUSED:
                return not may_be_finishing(self.state, sent.target, now_ms)
        return True

    # Actions.

    def execute(self, actions) -> None:
        """Execute the actions of a decision."""
        for action in actions:
            match action:
                case flows.Forward():
                    self._send(
                        self._codec.encode_forward(action),
                        action.target.endpoint.socket_address(),
                    )
                case flows.Refuse():
                    self._refuse(action)
                case flows.Drop():
                    self._drop(action)
                case flows.TargetsNeeded():
                    self._report_unknown_target()
                case flows.RoutesNeeded():
                    self._report_unknown_route(action)
                case target_health.SendProbe():
                    self._queue_probe(action)
                case target_health.ConditionChanged():
                    self._apply_condition(action)
                case target_health.TargetUnresponsive():
                    self._handle_unresponsive(action)
                case target_health.TargetResponsive():
                    self._update_health(action)
                case _:
                    self._record_action(action)

    def _record_action(self, action):
        """Count, log or report actions that send nothing."""
        match action:
            case flows.Placed():
                self._log_placed(action)
            case flows.Answered():
                self._counters.observe(
                    'open_ms', action.latency_ms, action.route.name
                )
            case flows.TargetRestarted():
                self._log_restarted(action)
            case flows.Adopted():
                self._log_adopted(action)
            case flows.TagDiffers():
                self._log_other_tag(action)
            case flows.SharePins() | flows.PinNeeded():
                self._pass_to_members(action)

    def _pass_to_members(self, action):
        if self.on_pins is not None:
            self.on_pins(action)

    def _log_adopted(self, action):
        self._counters.count('adopted')
        if not action.has_route:
            self._counters.count('adopted_without_route')
        self._log_flow(
            'adopted',
            action,
            target=action.target,
            tag=action.tag,
            source=action.source,
            has_route=action.has_route,
        )

    def _log_other_tag(self, action):
        self._counters.count('tags_differ')
        self._log_flow(
            'tag_differs',
            action,
            target=action.target,
            named=action.named,
            tried=action.tried,
        )

    def _report_stall(self, action):
        self._counters.count('stalls')
        self._log.write(
            'targets',
            'stalled',
            target=action.target,
            flow=action.flow.hex(),
            waited_ms=action.waited_ms,
        )
        if self.on_stall is not None:
            self.on_stall(action)

    def eject(self, name: str, until_ms: int) -> None:
        """Place no new flows on a target until ``until_ms``."""
        event = flows.TargetEjected(name, until_ms, self.clock.now_ms())
        self.execute(forwarding.decide(self.state, event))

    def _log_restarted(self, action):
        self._counters.count('targets_restarted')
        self._log.write(
            'targets',
            'restarted',
            target=action.target.name,
            started_wall_ms=action.target.started_wall_ms,
            flows=action.flows,
            requests=action.requests,
        )

    def _queue_probe(self, action):
        """Queue a probe, or take the target as alive if none is needed."""
        if is_probe_wanted(self.state, action.target):
            self._counters.count('probes')
            self.pending_probes.append(action)
            return
        self._counters.count('probes_spared')
        self.state.health.forget(action.target)
        now_ms = self.clock.now_ms()
        change = flows.TargetHealthChanged(action.target, False, now_ms)
        self.execute(forwarding.decide(self.state, change))

    def _report_unknown_target(self):
        """Report that a segment waits for a target that is not known."""
        self._counters.count('retried.unknown_tag')
        if self.on_unknown_target is not None:
            self.on_unknown_target()

    def _report_unknown_route(self, action):
        """Report that a segment waits for a route that is not known."""
        self._counters.count('retried.unknown_route')
        self._log_flow('waits_for_route', action)
        if self.on_unknown_route is not None:
            self.on_unknown_route()

    def _handle_unresponsive(self, unresponsive):
        """Probe a target that did not answer a flow."""
        self._counters.count(f'silence.{unresponsive.sign.value}')
        actions = target_health.decide(self.state.health, unresponsive)
        if actions:
            self._log.write(
                'targets',
                'doubted_by_flow',
                target=unresponsive.target,
                sign=unresponsive.sign.value,
                flow=unresponsive.flow.hex(),
                for_ms=unresponsive.for_ms,
            )
        self.execute(actions)

    def _update_health(self, event):
        self.execute(target_health.decide(self.state.health, event))

    def _apply_condition(self, action):
        event = 'suspected' if action.is_suspected else 'alive'
        if action.is_dead:
            event = 'dead'
        self._log.write(
            'targets', event, target=action.target, probes=action.probes
        )
        change = flows.TargetHealthChanged(
            action.target,
            action.is_dead,
            self.clock.now_ms(),
            action.is_suspected,
        )
        self.execute(forwarding.decide(self.state, change))

    def _send(self, datagram, destination):
        self.link.sent(len(datagram), self._now_ms)
        try:
            self.socket.sendto(datagram, destination)
        except BlockingIOError:
            self._counters.count('refused.link_full')
        except OSError as error:
            self._counters.count(f'socket_error.{error.errno}')

    def _refuse(self, action):
        self._counters.count(f'refused.{action.reason.value}')
        self._log_flow(
            'reset', action, reason=action.reason.value, target=action.target
        )
        destination = (action.client.ip, self._client_port)
        self._send(self._codec.encode_reset(action), destination)

    def _drop(self, action):
        self._counters.count(f'dropped.{action.reason.value}')
        self._log_flow(
            'dropped', action, reason=action.reason.value, tag=action.tag
        )

    def _routes_age_ms(self):
        """Return the age of the routes; None if they were never confirmed."""
        confirmed_ms = self.state.absence.confirmed_ms
        if confirmed_ms == NEVER_MS:
            return None
        return self._now_ms - confirmed_ms

    def _log_flow(self, event, action, **inputs):
        table = self.state.table
        self._log.write(
            'flows',
            event,
            flow=action.flow.hex(),
            client=str(action.client),
            address=str(action.address),
            version=table.version if table else None,
            routes_age_ms=self._routes_age_ms(),
            **inputs,
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
            revision=self.store_cache.directory.revision,
        )
