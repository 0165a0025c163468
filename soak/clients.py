"""Clients: open flows through the routers, send and retry requests."""

import asyncio
from enum import Enum
import json

from attrs import define
from attrs import frozen

from liftmount._internal.clock import seconds
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.network.udp import UdpSocket
from soak import transport
from soak.transport import Packet

# The platform's clients use the same times; both count from the first
# opening.
OPENING_RESENDS_MS = (200, 600)
OPENING_TIMEOUT_MS = 1_400
DEADLINE_MS = 3_000
MAX_RETRIES = 2
# Ports of a client host; the range is wide so that reuse takes minutes.
FIRST_PORT = 10_000
LAST_PORT = 60_000


class RequestKind(Enum):
    """Kinds of requests; those of a stream share one flow."""

    STREAM = 'stream'
    AT_MOST_ONCE = 'at most once'
    DOWNLOAD = 'download'


@frozen
class Load:
    """One kind of request: work, answer size and pause between requests."""

    kind: RequestKind
    service: str
    work_ms: int
    answer_bytes: int
    pause_ms: int


class FlowError(Exception):
    """A flow ended before the answer; ``has_opened`` if it was open."""

    def __init__(self, reason: str, has_opened: bool):
        super().__init__(reason)
        self.has_opened = has_opened


@define(eq=False)
class ClientFlow:
    """Client side of a flow."""

    host: object
    key: tuple
    route: Endpoint
    sequence: int
    tag: int = 0
    end: transport.FlowEnd | None = None
    opened: asyncio.Future | None = None
    answered: asyncio.Future | None = None
    buffer: bytes = b''
    failure: FlowError | None = None

    async def open(self) -> None:
        """Open the flow; raise FlowError on failure."""
        self.opened = asyncio.get_running_loop().create_future()
        self._send_opening(0)
        waited_ms = 0
        for copy, at_ms in enumerate(
            (*OPENING_RESENDS_MS, OPENING_TIMEOUT_MS), 1
        ):
            timeout = seconds(at_ms - waited_ms)
            waited_ms = at_ms
            await asyncio.wait({self.opened}, timeout=timeout)
            if self.opened.done():
                return self.opened.result()
            if at_ms != OPENING_TIMEOUT_MS:
                self._send_opening(copy)
        raise FlowError('no answer to the opening', False)

    def _send_opening(self, copy):
        packet = Packet(
            self.sequence,
            copy,
            self.key[2:],
            self.key[:2],
            0,
            transport.SYN,
        )
        self.host.send(self, packet)

    async def request(self, data: bytes, timeout_ms: int) -> dict:
        """Send a request and return the answer; raise FlowError on failure."""
        if self.failure is not None:
            raise self.failure
        self.answered = asyncio.get_running_loop().create_future()
        self.end.write(data, self.host.clock.now_ms())
        await asyncio.wait({self.answered}, timeout=seconds(timeout_ms))
        if not self.answered.done():
            raise FlowError('no answer until the deadline', True)
        return self.answered.result()

    def receive(self, packet: Packet) -> None:
        """Handle a packet for this flow."""
        if packet.flags & transport.RST:
            self.fail('reset')
        elif self.end is None:
            if packet.flags & transport.SYN:
                self._receive_opening(packet)
        elif not packet.flags & transport.SYN:
            self._receive_data(packet)

    def _receive_opening(self, packet):
        if self.opened.done():
            return
        self.tag = packet.tag
        self.end = transport.FlowEnd(
            self._send,
            (self.sequence + 1) & transport.MASK,
            (packet.sequence + 1) & transport.MASK,
        )
        self._send(transport.ACK, self.end.sequence, b'')
        self.opened.set_result(None)

    def _receive_data(self, packet):
        self.tag = packet.tag
        self.buffer += self.end.receive(packet, self.host.clock.now_ms())
        if b'\n' in self.buffer and self.answered is not None:
            line, _newline, self.buffer = self.buffer.partition(b'\n')
            if not self.answered.done():
                self.answered.set_result(json.loads(line))
        if self.end.has_received_fin:
            self.end.close(self.host.clock.now_ms())
            self.fail('closed')

    def fail(self, reason: str) -> None:
        """End the flow and raise FlowError in pending calls."""
        self.failure = FlowError(reason, self.end is not None)
        for future in (self.opened, self.answered):
            if future is not None and not future.done():
                future.set_exception(self.failure)
                # Mark the exception as retrieved; no call may be waiting.
                future.exception()

    def _send(self, flags, sequence, data):
        packet = Packet(
            sequence,
            self.end.received,
            self.key[2:],
            self.key[:2],
            self.tag,
            flags,
            data,
        )
        self.host.send(self, packet)


class ClientHost:
    """The clients of one failure domain; they share an IP address."""

    def __init__(self, domain, address: Endpoint, deployment):
        self.domain = domain
        self.address = address
        self.clock = deployment.clock
        self.routers = deployment.routers
        self.checker = deployment.checker
        self.random = deployment.random
        self.flows = {}
        self._udp = None
        self._next_port = FIRST_PORT

    async def start(self) -> None:
        """Bind the socket."""
        self._udp = await UdpSocket.bind(self.address, self._on_datagram)

    def close(self) -> None:
        """Close the socket."""
        self._udp.close()

    def new_flow(self, route: Endpoint) -> ClientFlow:
        """Return a flow to a route, from a new port."""
        self._next_port += 1
        if self._next_port > LAST_PORT:
            self._next_port = FIRST_PORT
        key = (
            _ip_to_int(self.address.ip),
            self._next_port,
            _ip_to_int(route.ip),
            route.port,
        )
        sequence = self.random.getrandbits(32)
        flow = ClientFlow(self, key, route, sequence)
        self.flows[self._next_port] = flow
        return flow

    def send(self, flow: ClientFlow, packet: Packet) -> None:
        """Send a packet through the balancer that the router picks."""
        balancer = self.routers.pick(self.domain, flow.key)
        if balancer is not None:
            self._udp.send(packet.encode(), balancer.socket_address())

    def _on_datagram(self, data, source):
        packet = transport.decode(data)
        flow = self.flows.get(packet.destination[1])
        if flow is None:
            return
        if packet.checksum == 0 and packet.flags & transport.RST:
            self.checker.record_reset(flow.key, source[0])
        elif not transport.is_unchanged(data):
            self.checker.report_changed_packet('a client', data)
            return
        flow.receive(packet)

    def tick(self, now_ms: int) -> None:
        """Resend what is due."""
        for flow in list(self.flows.values()):
            if flow.end is not None and flow.failure is None:
                flow.end.tick(now_ms)

    def drop(self, flow: ClientFlow) -> None:
        """Close a flow; its port is freed after the deadline."""
        if flow.end is not None and flow.failure is None:
            flow.end.close(self.clock.now_ms())
        asyncio.get_running_loop().call_later(
            seconds(DEADLINE_MS), self.flows.pop, flow.key[1], None
        )


class Client:
    """Sends requests of one kind, one after the other."""

    def __init__(self, name, host, load: Load, route, checker):
        self.name = name
        self.host: ClientHost = host
        self.load = load
        self.route = route
        self.checker = checker
        self._flow = None
        self._count = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        pause_ms = self.load.pause_ms
        await asyncio.sleep(seconds(self.host.random.uniform(0, pause_ms)))
        while True:
            await self._send_request()
            factor = self.host.random.uniform(0.6, 1.4)
            await asyncio.sleep(seconds(pause_ms * factor))

    async def _send_request(self):
        self._count += 1
        request = f'{self.name}-{self._count}'
        started_ms = self.host.clock.now_ms()
        until_ms = started_ms + DEADLINE_MS
        is_served = False
        for attempt in range(MAX_RETRIES + 1):
            left_ms = until_ms - self.host.clock.now_ms()
            if left_ms <= 0:
                break
            try:
                answer = await self._send_attempt(request, attempt, left_ms)
            except FlowError as error:
                self._end_flow()
                is_at_most_once = self.load.kind is RequestKind.AT_MOST_ONCE
                if is_at_most_once and error.has_opened:
                    break
                continue
            if answer['outcome'] == 'done':
                is_served = True
                break
        now_ms = self.host.clock.now_ms()
        self.checker.record_request(self.load, started_ms, now_ms, is_served)

    async def _send_attempt(self, request, attempt, left_ms):
        if self._flow is None or self._flow.failure is not None:
            self._flow = self.host.new_flow(self.route)
            await self._flow.open()
        document = {
            'try': f'{request}.{attempt}',
            'request': request,
            'kind': self.load.kind.value,
            'work_ms': self.load.work_ms,
            'answer_bytes': self.load.answer_bytes,
        }
        data = json.dumps(document).encode() + b'\n'
        answer = await self._flow.request(data, left_ms)
        if answer['try'] != document['try']:
            self.checker.report_wrong_answer(document['try'], answer['try'])
        if self.load.kind is not RequestKind.STREAM:
            self._end_flow()
        return answer

    def _end_flow(self):
        if self._flow is not None:
            self.host.drop(self._flow)
        self._flow = None


def _ip_to_int(ip):
    return int.from_bytes(bytes(map(int, ip.split('.'))), 'big')
