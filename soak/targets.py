"""Simulated targets: hold flows, run requests, drain, crash and end."""

import asyncio
from enum import Enum
import json

from attrs import define
from attrs import Factory

from liftmount._internal.clock import seconds
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.network.http import HttpServer
from liftmount._internal.network.http_messages import HTTP_OK
from liftmount._internal.network.http_messages import HttpAnswer
from liftmount._internal.network.udp import UdpSocket
from soak import transport
from soak.transport import Packet

# The number of the intended target precedes each datagram; 0 for any.
NUMBER_BYTES = 8
# Limits of running and of queued requests.
SLOTS = 3
MAX_QUEUED = 12
# A flow is dropped after this many resends without progress.
MAX_RESENDS = 8


class TargetState(Enum):
    """State of a target; the values are those of its store entry."""

    READY = 'ready'
    DRAINING = 'draining'
    ENDED = 'ended'


@define(eq=False)
class ServedFlow:
    """Target side of a flow; open once the handshake is complete."""

    key: tuple
    end: transport.FlowEnd
    tag: int
    is_open: bool = False
    has_ended: bool = False
    buffer: bytearray = Factory(bytearray)


class Target:
    """A target; its number is unique within a run.

    ``listen`` is where it receives packets, ``address`` what its store
    entry says (a proxy in front of it), ``client_port`` the port at which
    clients receive packets.
    """

    def __init__(self, number, service, domain, listen, address, deployment):
        self.number = number
        self.name = f'i-{number:x}'
        self.service = service
        self.domain = domain
        self.listen: Endpoint = listen
        self.address: Endpoint = address
        self.clock = deployment.clock
        self.checker = deployment.checker
        self.client_port = deployment.client_port
        self.state = TargetState.READY
        self.born_ms = self.clock.wall_ms()
        self.factor = 1.0
        self.flows = {}
        self.slots = asyncio.Semaphore(SLOTS)
        self.pending = 0
        self._udp = None
        self._health = HttpServer(self._answer_health)
        self._tasks = set()

    async def start(self) -> None:
        """Listen for packets and health checks."""
        self._udp = await UdpSocket.bind(self.listen, self._on_datagram)
        await self._health.start(self.listen)

    def entry(self) -> dict:
        """Return the target's entry in the store."""
        return {
            'backend': self.service,
            'address': str(self.address),
            'zone': self.domain,
            'version': 'v1',
            'capacity': SLOTS,
            'state': self.state.value,
            'warmup_left_ms': 0,
            'sequence': 1,
            'born': self.born_ms,
        }

    def stop_listening(self) -> None:
        """Accept no more connections for health checks."""
        self._health.close()

    def end(self) -> None:
        """End at once and drop all flows."""
        self.state = TargetState.ENDED
        self.flows.clear()
        self._health.close()
        self._udp.close()
        for task in self._tasks:
            task.cancel()

    def holds(self, key: tuple) -> bool:
        """Tell whether a flow is open at this target."""
        flow = self.flows.get(key)
        return flow is not None and flow.is_open and not flow.has_ended

    @staticmethod
    def _answer_health(_path):
        return HttpAnswer(HTTP_OK, b'', {})

    # Packets

    def _on_datagram(self, data, source):
        target_number = int.from_bytes(data[:NUMBER_BYTES], 'big')
        if target_number not in (0, self.number):
            return
        datagram = data[NUMBER_BYTES:]
        if not transport.is_unchanged(datagram):
            self.checker.report_changed_packet(self.name, datagram)
            return
        packet = transport.decode(datagram)
        key = transport.flow_key(packet)
        flow = self.flows.get(key)
        if packet.flags & transport.SYN:
            self._receive_opening(packet, key, flow)
        elif flow is None or flow.has_ended:
            self._answer_unknown_flow(packet, key, flow)
        else:
            self._receive(packet, flow)

    def _receive_opening(self, packet, key, flow):
        if flow is None:
            self.checker.record_opening(self, packet)
            flow = ServedFlow(key, None, packet.tag)
            flow.end = transport.FlowEnd(
                lambda *what: self._send(flow, *what),
                # Differs between targets: clients can tell them apart.
                (self.number * 7_919 + packet.sequence) & transport.MASK,
                (packet.sequence + 1) & transport.MASK,
            )
            self.flows[key] = flow
        if not flow.is_open:
            flow.tag = packet.tag
            flags = transport.SYN | transport.ACK
            self._send(flow, flags, flow.end.sequence, b'')

    def _receive(self, packet, flow):
        flow.tag = packet.tag
        if not flow.is_open:
            expected = (flow.end.sequence + 1) & transport.MASK
            if packet.acknowledgement != expected:
                # The client accepted the answer of another target.
                return
            flow.is_open = True
            flow.end.sequence = expected
            self.checker.record_open_flow(self, flow.key)
        if packet.flags & transport.RST:
            flow.has_ended = True
            return
        flow.buffer += flow.end.receive(packet, self.clock.now_ms())
        self._serve(flow)
        if flow.end.has_received_fin:
            flow.end.close(self.clock.now_ms())
            flow.has_ended = True

    def _answer_unknown_flow(self, packet, key, flow):
        """Answer a packet of a flow that is unknown or has ended."""
        is_data = bool(packet.payload)
        if packet.flags & transport.RST or not (flow is None or is_data):
            return
        answer = Packet(
            packet.acknowledgement,
            packet.sequence,
            packet.source,
            packet.destination,
            packet.tag,
            transport.RST,
        )
        self._udp.send(answer.encode(), (_int_to_ip(key[0]), self.client_port))

    def _send(self, flow, flags, sequence, data):
        client = flow.key[:2]
        packet = Packet(
            sequence,
            flow.end.received,
            client,
            flow.key[2:],
            flow.tag,
            flags,
            data,
        )
        self._udp.send(
            packet.encode(), (_int_to_ip(client[0]), self.client_port)
        )

    # Requests

    def _serve(self, flow):
        while b'\n' in flow.buffer:
            line, _newline, rest = bytes(flow.buffer).partition(b'\n')
            flow.buffer = bytearray(rest)
            task = asyncio.create_task(self._work(flow, json.loads(line)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _work(self, flow, request):
        if self.pending >= SLOTS + MAX_QUEUED:
            self._answer(flow, request, 'not run')
            return
        self.pending += 1
        try:
            async with self.slots:
                self.checker.record_run(self, flow.key, request)
                await asyncio.sleep(seconds(request['work_ms'] * self.factor))
        finally:
            self.pending -= 1
        self._answer(flow, request, 'done')
        if self.state is TargetState.DRAINING:
            flow.end.close(self.clock.now_ms())

    def _answer(self, flow, request, outcome):
        answer = {'try': request['try'], 'outcome': outcome}
        answer['filler'] = 'x' * request['answer_bytes']
        data = json.dumps(answer).encode() + b'\n'
        flow.end.write(data, self.clock.now_ms())

    def tick(self, now_ms: int) -> None:
        """Resend what is due; drop flows whose client does not answer."""
        for key, flow in list(self.flows.items()):
            if flow.end.resends > MAX_RESENDS:
                del self.flows[key]
            else:
                flow.end.tick(now_ms)


def _int_to_ip(number):
    return '.'.join(map(str, number.to_bytes(4, 'big')))
