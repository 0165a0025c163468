"""Data path: routes callers' packets and serves the flows homed here.

A packet arrives from the fabric or from another balancer.  Routing decides
whether it is handled here, forwarded to another balancer or refused.
"""

from functools import lru_cache
import logging
import secrets

from attrs import evolve

from liftmount._internal.decisions import requests
from liftmount._internal.decisions import routing
from liftmount._internal.decisions import streams
from liftmount._internal.decisions.home import make_home_state
from liftmount._internal.decisions.keys import make_ring
from liftmount._internal.decisions.reassembly import Reassembly
from liftmount._internal.decisions.rollout import ConfigurationView
from liftmount._internal.decisions.token import FlowToken
from liftmount._internal.decisions.token import seal_token
from liftmount._internal.exceptions import PacketError
from liftmount._internal.exceptions import TokenError
from liftmount._internal.kernel import TickingService
from liftmount._internal.models import actions as act
from liftmount._internal.models import events
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.envelopes import decode_fabric
from liftmount._internal.models.envelopes import encode_fabric
from liftmount._internal.models.envelopes import FabricEnvelope
from liftmount._internal.models.envelopes import PeerEnvelope
from liftmount._internal.models.messages import ConfigurationChanged
from liftmount._internal.models.messages import ForwardPacket
from liftmount._internal.models.messages import Inspect
from liftmount._internal.models.messages import MembersChanged
from liftmount._internal.models.messages import PacketForwarded
from liftmount._internal.models.messages import ShutdownCancelled
from liftmount._internal.models.messages import ShutdownStarted
from liftmount._internal.models.messages import TargetConnected
from liftmount._internal.models.messages import TargetDraining
from liftmount._internal.models.packets import Answer
from liftmount._internal.models.packets import Cancel
from liftmount._internal.models.packets import Close
from liftmount._internal.models.packets import decode_packet
from liftmount._internal.models.packets import encode_packet
from liftmount._internal.models.packets import Keepalive
from liftmount._internal.models.packets import Open
from liftmount._internal.models.packets import Opened
from liftmount._internal.models.packets import Push
from liftmount._internal.models.packets import Rebind
from liftmount._internal.models.packets import Refused
from liftmount._internal.models.packets import Request
from liftmount._internal.models.packets import split_body
from liftmount._internal.models.reasons import Reason
from liftmount._internal.models.records import Tick
from liftmount._internal.network.udp import UdpSocket

LOG = logging.getLogger('liftmount.data')
TICK_MS = 20
NONCE_BITS = 53  # integers in packets are limited to 2**53
REBINDS_PER_TICK = 200  # spreads out the reconnections
REBIND_PLANNING_MS = 1_000
QUIET_PERIOD_MS = 1_500


@lru_cache(maxsize=262_144)
def _intern_endpoint(ip, port):
    """Return the shared Endpoint of an address."""
    return Endpoint(ip, port)


class DataService(TickingService):
    """Owns the fabric socket, the routing state and the home state."""

    name = 'data'
    tick_ms = TICK_MS

    def __init__(self, kernel, settings, identity, counters):
        super().__init__(kernel)
        self.settings = settings
        self.counters = counters
        self.view = ConfigurationView()
        self.routing = routing.RoutingState(
            identity.name, identity.incarnation
        )
        self.home = make_home_state(settings.limits, identity.failure_domain)
        self.identity = identity
        self.reassembly = Reassembly()
        self.fabric = None
        self._return_address = settings.fabric.return_address.socket_address()
        self._pending_rebinds = []
        self._next_planning_ms = 0
        self._planning_rounds = 0
        self._last_packet_ms = 0
        self.routing.ownership.add(identity.name, identity.failure_domain)

    async def start(self):
        """Bind the socket; subscribe to configuration and members."""
        listen = self.settings.listen.fabric
        self.fabric = await UdpSocket.bind(listen, self._on_fabric_datagram)
        self.kernel.stream('configuration').subscribe(self.post)
        self.kernel.stream('members').subscribe(self.post)

    async def stop(self):
        """Close the socket."""
        if self.fabric is not None:
            self.fabric.close()

    def tick(self):
        """Expire requests, streams and pieces; send due rebind requests."""
        now_ms = self.clock.now_ms()
        self._execute(requests.decide(self.home, Tick(now_ms)))
        self._execute(streams.expire(self.home, now_ms))
        self.reassembly.expire(now_ms)
        if self.home.leaving and now_ms >= self._next_planning_ms:
            self._plan_rebinds(now_ms)
        self._execute(self._pending_rebinds[:REBINDS_PER_TICK])
        del self._pending_rebinds[:REBINDS_PER_TICK]

    def _plan_rebinds(self, now_ms):
        if not self._pending_rebinds:
            self._pending_rebinds = streams.moves(self.home)
            self._planning_rounds += 1
        self._next_planning_ms = now_ms + REBIND_PLANNING_MS

    def has_finished(self) -> bool:
        """Return whether a graceful shutdown would interrupt nothing now.

        No request may be pending.  Remaining flows do not count after
        three planning rounds, once no packet has arrived for
        ``QUIET_PERIOD_MS``.
        """
        unfinished = any(
            not request.finished for request in self.home.pending.values()
        )
        if unfinished:
            return False
        if not len(self.home.flows):
            return True
        quiet_ms = self.clock.now_ms() - self._last_packet_ms
        return self._planning_rounds >= 3 and quiet_ms >= QUIET_PERIOD_MS

    def handle(self, message):
        """Handle one message of another service."""
        match message:
            case PacketForwarded():
                self._on_peer_packet(message.envelope)
            case events.PushArrived() | events.StreamLost():
                self._execute(streams.decide(self.home, message))
            case (
                events.TargetAnswered()
                | events.TargetRefused()
                | events.RequestLost()
            ):
                self._execute(requests.decide(self.home, message))
            case ConfigurationChanged():
                self._apply_configuration(message.view)
            case MembersChanged():
                self._update_members(message)
            case TargetConnected() | TargetDraining():
                self._update_target(message)
            case ShutdownStarted():
                self._set_leaving(True)
            case ShutdownCancelled():
                self._set_leaving(False)
            case Inspect():
                message.answer.set_result(self._inspect(message))
            case _:
                super().handle(message)

    # Received packets.

    def _on_fabric_datagram(self, data, _source):
        try:
            envelope = decode_fabric(data)
            packet = decode_packet(envelope.datagram)
            self._route_packet(envelope, packet, 0)
        except (PacketError, ValueError):
            self.counters.refused(Reason.MALFORMED_PACKET)

    def _on_peer_packet(self, envelope):
        try:
            packet = decode_packet(envelope.datagram)
            self._route_packet(envelope, packet, envelope.hops)
        except (PacketError, ValueError):
            self.counters.refused(Reason.MALFORMED_PACKET)

    def _route_packet(self, envelope, packet, hops):
        caller = _intern_endpoint(envelope.caller_ip, envelope.caller_port)
        address = _intern_endpoint(envelope.address_ip, envelope.address_port)
        event = routing.PacketArrived(caller, address, packet, hops)
        action = routing.decide(self.routing, event)
        match action:
            case act.PassToPeer():
                self._forward_to_peer(action.peer, envelope, hops)
            case act.HandleAsHome():
                self._handle_as_home(event, action.service, action.nonce)
            case act.HandleOpen():
                self._handle_open(event, action)
            case act.HandleByKey():
                self._handle_by_key(event, action, envelope)
            case act.RefusePacket():
                self._refuse_packet(event, action)

    def _forward_to_peer(self, peer, envelope, hops):
        passed = PeerEnvelope(
            sender=self.identity.name,
            hops=hops + 1,
            caller_ip=envelope.caller_ip,
            caller_port=envelope.caller_port,
            address_ip=envelope.address_ip,
            address_port=envelope.address_port,
            datagram=envelope.datagram,
        )
        self.counters.count('passed')
        self.kernel.post('peers', ForwardPacket(peer, passed))

    def _refuse_packet(self, event, action):
        self.counters.refused(action.reason)
        if action.answer:
            self._send_refused(event, action.reason, action.retry_after_ms)

    def _send_refused(self, event, reason, retry_after_ms=0):
        flow_id = getattr(event.packet, 'flow_id', b'')
        refused = Refused(
            flow_id=flow_id,
            number=getattr(event.packet, 'number', 0),
            reason=reason.value,
            retry_after_ms=retry_after_ms,
        )
        self._send_to_caller(event.caller, event.address, refused)

    def _handle_open(self, event, action):
        service = action.service
        self._ensure_pool(service.pool_key)
        packet = event.packet
        requested = events.FlowAsked(
            service=service,
            caller=event.caller,
            flow_id=packet.flow_id,
            name=packet.name,
            sequence=packet.sequence,
            target=action.target,
            target_incarnation=action.target_incarnation,
            nonce=secrets.randbits(NONCE_BITS),
            now_ms=self.clock.now_ms(),
        )
        if not isinstance(packet, Open):
            self.counters.count('adopted')
        self._execute(_select_decisions(service).decide(self.home, requested))

    def _ensure_pool(self, key):
        if key not in self.home.pools:
            self._update_pool(key)

    def _update_pool(self, key):
        infos = [
            evolve(info, leaving=info.leaving or self._is_draining(info.name))
            for info in self.view.target_infos(key)
        ]
        pool = self.home.pool_state(key).pool
        now_ms = self.clock.now_ms()
        pool.update(infos, now_ms)
        pool.close_domains(self.view.evacuated, now_ms)

    def _is_draining(self, name):
        return name in self.home.draining

    def _handle_by_key(self, event, action, envelope):
        flow = self.home.flows.find(event.caller, event.packet.flow_id)
        if flow is not None and flow.service.address == event.address:
            self._handle_as_home(event, action.service, flow.nonce)
        elif action.next_peer is not None:
            self._forward_to_peer(action.next_peer, envelope, event.hops)
        else:
            refusal = act.RefusePacket(Reason.FLOW_UNKNOWN, True)
            self._refuse_packet(event, refusal)

    def _handle_as_home(self, event, service, nonce):
        if self.home.flows.get(nonce) is None:
            if not isinstance(event.packet, Close):
                refusal = act.RefusePacket(Reason.FLOW_UNKNOWN, True)
                self._refuse_packet(event, refusal)
            return
        now_ms = self._last_packet_ms = self.clock.now_ms()
        packet = event.packet
        decide = _select_decisions(service).decide
        match packet:
            case Request() if service.mode == 'request':
                self._handle_request(event, nonce, now_ms)
            case Cancel() if service.mode == 'request':
                cancel = events.CancelArrived(nonce, packet.number, now_ms)
                self._execute(decide(self.home, cancel))
            case Keepalive():
                alive = events.KeepaliveArrived(
                    nonce, event.caller, packet.sequence, now_ms
                )
                self._execute(decide(self.home, alive))
            case Close():
                close = events.CloseArrived(nonce, now_ms)
                self._execute(decide(self.home, close))
            case _:
                self.counters.refused(Reason.WRONG_MODE)

    def _handle_request(self, event, nonce, now_ms):
        packet = event.packet
        body = self.reassembly.add(
            (nonce, packet.number),
            packet.piece,
            packet.pieces,
            packet.body,
            now_ms,
        )
        if body is None:
            return
        arrived = events.RequestArrived(
            nonce=nonce,
            caller=event.caller,
            number=packet.number,
            deadline_ms=packet.deadline_ms,
            body=body,
            now_ms=now_ms,
        )
        self._execute(requests.decide(self.home, arrived))

    # Actions returned by the decisions.

    def _execute(self, actions):
        for action in actions:
            self._execute_one(action)

    def _execute_one(self, action):
        match action:
            case (
                act.SendRequest()
                | act.SendCancel()
                | act.AttachStream()
                | act.DetachStream()
            ):
                self.kernel.post('targets', action)
            case act.SendPush():
                packet = Push(action.flow_id, action.sequence, action.body)
                self._send_to_caller(action.caller, action.address, packet)
            case act.Reply():
                self._send_answer(action)
            case act.GrantFlow():
                self._grant_flow(action)
            case act.RefuseFlow():
                packet = Refused(
                    flow_id=action.flow_id,
                    reason=action.reason.value,
                    retry_after_ms=action.retry_after_ms,
                )
                self._send_to_caller(action.caller, action.address, packet)
            case act.AskToRebind():
                packet = Rebind(action.flow_id, action.reason.value)
                self._send_to_caller(action.caller, action.address, packet)
            case act.CountRefusal():
                self.counters.refused(action.reason)
            case act.CountRetry():
                self.counters.retried(action.reason)

    def _grant_flow(self, action):
        service = action.service
        token = FlowToken(
            team=service.team,
            service=service.name,
            generation=service.generation,
            home=self.identity.name,
            home_incarnation=self.identity.incarnation,
            nonce=action.nonce,
            flow_id=action.flow_id,
            target=action.target,
            target_incarnation=action.target_incarnation,
            failure_domain=self.identity.failure_domain,
            issued_wall_ms=self.clock.wall_ms(),
        )
        try:
            sealed = seal_token(self.routing.ring, token)
        except TokenError as error:
            self.counters.refused(error.reason)
            self.home.flows.remove(action.nonce)
            return
        opened = Opened(action.flow_id, sealed, action.nonce)
        self._send_to_caller(action.caller, service.address, opened)

    def _send_answer(self, action):
        outcome = action.outcome
        self.counters.count(f'verdict.{outcome.verdict.value}')
        pieces = split_body(outcome.body)
        for index, piece in enumerate(pieces):
            answer = Answer(
                flow_id=action.flow_id,
                number=action.number,
                piece=index,
                pieces=len(pieces),
                body=piece,
                verdict=outcome.verdict.value,
                reason=outcome.reason.value if outcome.reason else '',
                retry_after_ms=outcome.retry_after_ms,
            )
            self._send_to_caller(action.caller, action.address, answer)

    def _send_to_caller(self, caller, address, packet):
        envelope = FabricEnvelope(
            caller_ip=caller.ip,
            caller_port=caller.port,
            address_ip=address.ip,
            address_port=address.port,
            datagram=encode_packet(packet),
        )
        self.fabric.send(encode_fabric(envelope), self._return_address)

    # Messages from other services.

    def _apply_configuration(self, view):
        self.view = view
        self.routing.services = view.services
        self.routing.pool_domains = view.pool_domains
        self.routing.ring = make_ring(view.keys)
        for key in self.home.pools:
            self._update_pool(key)
        self._plan_rebinds(self.clock.now_ms())
        if view.is_leaving(self.identity.name) != self.home.leaving:
            self._post_own_drain(view)

    def _post_own_drain(self, view):
        leaves = view.is_leaving(self.identity.name)
        message = ShutdownStarted() if leaves else ShutdownCancelled()
        if leaves or not self.kernel.lookup('peers').is_stopping:
            for name in ('data', 'peers'):
                self.kernel.post(name, message)

    def _update_members(self, message):
        state = self.routing
        changed = message.changed
        members = message.members.values()
        for member in [changed] if changed else members:
            state.peers[member.name] = routing.PeerView(
                member.incarnation, member.reachable
            )
            if member.eligible:
                state.ownership.add(member.name, member.failure_domain)
            else:
                state.ownership.remove(member.name)

    def _update_target(self, message):
        now_ms = self.clock.now_ms()
        match message:
            case TargetConnected():
                self.home.draining.discard(message.target)
                for state in self.home.pools.values():
                    state.pool.seen(
                        message.target, message.incarnation, now_ms
                    )
            case TargetDraining(is_draining=True):
                self.home.draining.add(message.target)
            case TargetDraining():
                self.home.draining.discard(message.target)
        for key, state in self.home.pools.items():
            if message.target in state.pool.targets:
                self._update_pool(key)
        self._plan_rebinds(now_ms)

    def _set_leaving(self, is_leaving):
        LOG.info('Draining.' if is_leaving else 'Drain cancelled.')
        self.home.leaving = is_leaving
        self.routing.leaving = is_leaving
        identity = self.identity
        if is_leaving:
            self.routing.ownership.remove(identity.name)
        else:
            self.routing.ownership.add(identity.name, identity.failure_domain)

    # Inspection by the command-line tool.

    def _inspect(self, message):
        if message.subject == 'flow':
            return self._explain_flow(message.argument)
        return {
            'flows': len(self.home.flows),
            'requests': len(self.home.pending),
            'counters': dict(self.counters.totals),
            'leaving': self.home.leaving,
            'pools': {
                key: _describe_pool(state)
                for key, state in self.home.pools.items()
            },
        }

    def _explain_flow(self, argument):
        ip, _separator, port = argument.rpartition(':')
        service = self.routing.services.get(Endpoint(ip, int(port or 0)))
        if service is None:
            return {'address': argument, 'why': 'unknown address'}
        owner = self.routing.owner(service)
        document = {
            'address': argument,
            'team': service.team,
            'service': service.name,
            'generation': service.generation,
            'pool': service.pool_key,
            'owner': owner,
            'why': f'{owner} owns pool {service.pool_key}',
        }
        if owner == self.identity.name:
            self._ensure_pool(service.pool_key)
            state = self.home.pool_state(service.pool_key)
            now_ms = self.clock.now_ms()
            chosen = state.pool.choose(now_ms)
            if service.mode == 'stream':
                chosen = state.pool.choose_for_stream(now_ms)
            document['target'] = chosen.name if chosen else None
            document['targets'] = _describe_pool(state)
        return document


def _describe_pool(state):
    return {
        name: {
            'in_progress': target.in_progress,
            'open_streams': target.open_streams,
            'limit': target.capacity.limit,
            'leaving': target.leaving,
            'failure_domain': target.failure_domain,
            'evacuated': target.failure_domain in state.pool.closed,
            'busy_share': round(target.busy.busy / target.capacity.limit, 3),
        }
        for name, target in state.pool.targets.items()
    }


def _select_decisions(service):
    return streams if service.mode == 'stream' else requests
