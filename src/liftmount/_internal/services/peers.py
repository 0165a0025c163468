"""Peer socket: membership messages and packets between balancers."""

import logging

from liftmount._internal.decisions import membership
from liftmount._internal.exceptions import PacketError
from liftmount._internal.kernel import TickingService
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.envelopes import decode_peer
from liftmount._internal.models.envelopes import encode_peer
from liftmount._internal.models.envelopes import is_membership
from liftmount._internal.models.envelopes import PeerEnvelope
from liftmount._internal.models.members import Member
from liftmount._internal.models.members import MemberStatus
from liftmount._internal.models.messages import ConfigurationChanged
from liftmount._internal.models.messages import ForwardPacket
from liftmount._internal.models.messages import MembersChanged
from liftmount._internal.models.messages import PacketForwarded
from liftmount._internal.models.messages import PlatformReachabilityChanged
from liftmount._internal.models.messages import PullObjects
from liftmount._internal.models.messages import ShutdownCancelled
from liftmount._internal.models.messages import ShutdownStarted
from liftmount._internal.models.reasons import Reason
from liftmount._internal.models.records import Tick
from liftmount._internal.network.priority_udp import PriorityUdpSocket

LOG = logging.getLogger('liftmount.peers')
TICK_MS = 25
PULL_INTERVAL_MS = 1_000
FAREWELL_MEMBERS = 3  # the others learn it by gossip


class PeerService(TickingService):
    """Owns the peer socket and the membership state."""

    name = 'peers'
    tick_ms = TICK_MS

    def __init__(self, kernel, settings, identity, counters):
        super().__init__(kernel)
        self.settings = settings
        self.identity = identity
        self.counters = counters
        self.socket = None
        self.state = None
        self.is_stopping = False
        self._next_pull_ms = 0

    async def start(self):
        """Bind the socket; the control service must have started before."""
        listen = self.settings.listen.peer
        self.socket = PriorityUdpSocket.bind(
            listen,
            self.clock,
            self._on_datagram,
            is_membership,
            self._on_expired,
        )
        control = self.kernel.lookup('control').address
        advertise = self.settings.advertise
        own = Member(
            name=self.identity.name,
            failure_domain=self.identity.failure_domain,
            peer=advertise.peer or self.socket.address,
            control=advertise.control or control,
            incarnation=self.identity.incarnation,
        )
        times = self.settings.membership
        self.state = membership.make_membership(
            own,
            membership.MembershipTimes(
                period_ms=times.period_ms,
                probe_timeout_ms=times.probe_timeout_ms,
                suspicion_ms=times.suspicion_ms,
                bytes_per_second=self.settings.limits.control_bytes_per_second,
            ),
            [seed.peer for seed in self.settings.seeds],
            self.clock.now_ms(),
        )
        self._publish(None)
        self.kernel.stream('configuration').subscribe(self.post)

    async def stop(self):
        """Close the socket."""
        if self.socket is not None:
            self.socket.close()

    def tick(self):
        """Advance the membership protocol."""
        self._execute(self._decide(Tick(self.clock.now_ms())))

    def _decide(self, event):
        return membership.decide(self.state, event)

    def handle(self, message):
        """Handle one message of another service."""
        match message:
            case ForwardPacket():
                self._forward_packet(message)
            case ConfigurationChanged():
                self.state.digest = message.digest
            case PlatformReachabilityChanged():
                self._announce(has_platform=message.is_reached)
            case ShutdownStarted():
                self._announce(leaving=True)
            case ShutdownCancelled():
                self._announce(leaving=False)
            case _:
                super().handle(message)

    def _announce(self, **changes):
        own = self.state.own
        if all(getattr(own, key) == value for key, value in changes.items()):
            return
        membership.announce(self.state, **changes)
        self._publish(None)

    def say_farewell(self):
        """Send the status LEFT to a few members immediately."""
        self._announce(status=MemberStatus.LEFT)
        for member in self.state.reachable()[:FAREWELL_MEMBERS]:
            self._execute(membership.farewell(self.state, member))

    def _publish(self, changed):
        message = MembersChanged(
            self.state.own, dict(self.state.members), changed
        )
        self.kernel.stream('members').on_next(message)

    def _forward_packet(self, message):
        member = self.state.members.get(message.peer)
        if member is None:
            self.counters.refused(Reason.UNKNOWN_PEER)
            return
        data = encode_peer(message.envelope)
        self.socket.send(data, member.peer.socket_address())

    def _on_expired(self, count):
        self.counters.count(f'refused.{Reason.WAITED_TOO_LONG.value}', count)

    def _on_datagram(self, data, source):
        try:
            message = decode_peer(data)
            if isinstance(message, PeerEnvelope):
                self.kernel.post('data', PacketForwarded(message))
                return
            event = membership.MessageArrived(
                message, Endpoint(*source[:2]), self.clock.now_ms()
            )
            self._execute(self._decide(event))
        except (PacketError, ValueError):
            self.counters.refused(Reason.MALFORMED_PACKET)

    def _execute(self, actions):
        for action in actions:
            match action:
                case membership.SendDatagram():
                    pair = action.destination.socket_address()
                    self.counters.count('control_bytes', len(action.datagram))
                    self.socket.send(action.datagram, pair)
                case membership.MemberChanged():
                    self._log_change(action.member)
                    self._publish(action.member)
                case membership.DigestDiffers():
                    self._request_pull(action.member)
                case membership.BudgetSpent():
                    self.counters.refused(Reason.CONTROL_BUDGET_SPENT)
                case membership.UnknownSender():
                    self.counters.count('membership.unknown_sender')
                case membership.Stalled(stalled_ms):
                    self.counters.count('membership.stalled_ms', stalled_ms)
                    LOG.info('Did not run for %d ms.', stalled_ms)
                case membership.Refuted():
                    self._log_refuted(action)
                case membership.ListsDiffer():
                    self._log_difference(action)

    @staticmethod
    def _log_change(member):
        status = member.status.name.lower()
        LOG.info('Member %s is %s.', member.name, status)

    def _log_refuted(self, action):
        self.counters.count('membership.refuted')
        status = action.status.name.lower()
        LOG.info('Was %s; now at version %d.', status, action.version)

    def _log_difference(self, action):
        self.counters.count('membership.lists_differ')
        LOG.info(
            'Compares its list of %d members with that of %s.',
            action.own_count,
            action.member.name,
        )

    def _request_pull(self, member):
        now_ms = self.clock.now_ms()
        if now_ms < self._next_pull_ms:
            return
        self._next_pull_ms = now_ms + PULL_INTERVAL_MS
        self.kernel.post('control', PullObjects(member))
