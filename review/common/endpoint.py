"""An endpoint: holds flows, runs requests, answers health checks."""

import asyncio
import json
import random
import time

from common.packets import ACK
from common.packets import decode
from common.packets import FIN
from common.packets import MASK
from common.packets import NUMBER_BYTES
from common.packets import Packet
from common.packets import RST
from common.packets import SYN

RESEND_S = 0.2
MAX_RESEND_S = 1.6
TICK_S = 0.02
MAX_TRIES = 8


def _ends(packet):
    return packet.src, packet.dst


class Held:
    """A flow at an endpoint."""

    def __init__(self, packet, number):
        self.client = packet.src
        self.route = packet.dst
        self.echo = packet.echo
        self.seq = (number * 7919 + packet.seq) & MASK
        self.received = (packet.seq + 1) & MASK
        self.is_open = False
        self.has_ended = False
        self.unacked = 0
        self.opening_tries = 0
        # (seq after it, flags, data, seq), and when it is sent again.
        self.sent = []
        self.resend_s = RESEND_S
        self.resend_at = 0.0


class Endpoint:
    """An endpoint of a service, at one address by UDP and TCP."""

    def __init__(self, deployment, number, service, zone, address):
        self.record = deployment.record
        self.slots = deployment.slots
        self.number = number
        self.name = f'i-{number:08x}'
        self.service = service
        self.zone = zone
        self.address = address
        self.client_port = deployment.ports['packets']
        self.state = 'ready'
        self.sequence = 1
        self.flows = {}
        # (time, client, IP of the balancer) of openings that were taken.
        self.openings = []
        # (time, client, route) of packets of flows that are open elsewhere.
        self.strays = []
        self.changed = 0
        # Share of the packets to clients that are lost.
        self.loss = 0.0
        self._slots = asyncio.Semaphore(self.slots)
        self._tasks = set()
        self._health = None
        self._transport = None

    async def start(self):
        """Listen for packets and health checks."""
        loop = asyncio.get_running_loop()
        self._transport, _protocol = await loop.create_datagram_endpoint(
            lambda: _Receiver(self.receive), local_addr=self.address
        )
        self._health = await asyncio.start_server(
            self._answer_health, *self.address
        )
        self._spawn(self._tick())

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def entry(self):
        """Return the entry in the store."""
        return {
            'backend': self.service,
            'address': f'{self.address[0]}:{self.address[1]}',
            'zone': self.zone,
            'version': 'v1',
            'capacity': self.slots,
            'state': self.state,
            'warmup_left_ms': 0,
            'sequence': self.sequence,
        }

    def stop_listening(self):
        """Accept no more connections; flows go on."""
        self._health.close()

    def end(self):
        """End at once."""
        for task in list(self._tasks):
            task.cancel()
        self._health.close()
        self._transport.close()

    def holds(self, client, route):
        """Tell whether a flow is open here."""
        flow = self.flows.get((client, route))
        return flow is not None and flow.is_open and not flow.has_ended

    async def _answer_health(self, reader, writer):
        try:
            await reader.readuntil(b'\r\n\r\n')
            status = b'200 OK' if self.state == 'ready' else b'503 Leaving'
            writer.write(
                b'HTTP/1.1 ' + status + b'\r\nContent-Length: 0\r\n'
                b'Instance-Id: ' + self.name.encode() + b'\r\n'
                b'Connection: close\r\n\r\n'
            )
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    # Packets

    def receive(self, data, source):
        """Handle a datagram."""
        number = int.from_bytes(data[:NUMBER_BYTES], 'big')
        if number not in (0, self.number):
            return
        packet = decode(data[NUMBER_BYTES:])
        if not packet.is_unchanged():
            self.changed += 1
            return
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self._open(packet, key, flow, source[0])
        elif flow is None or flow.has_ended:
            self._refuse(packet, flow)
        else:
            self._take(packet, flow)

    def _open(self, packet, key, flow, sender):
        if flow is None or flow.has_ended:
            flow = self.flows[key] = Held(packet, self.number)
            self.openings.append((time.monotonic(), packet.src, sender))
        if not flow.is_open:
            flow.echo = packet.echo
            self._answer_opening(flow)

    def _answer_opening(self, flow):
        flow.opening_tries += 1
        flow.resend_s = min(
            RESEND_S * 2 ** (flow.opening_tries - 1), MAX_RESEND_S
        )
        flow.resend_at = time.monotonic() + flow.resend_s
        self._send(flow, SYN | ACK, flow.seq, b'')

    def _refuse(self, packet, flow):
        if packet.flags & RST or (flow is not None and not packet.data):
            return
        self._transport.sendto(
            Packet(
                packet.ack,
                packet.seq,
                packet.src,
                packet.dst,
                packet.echo,
                RST,
            ).encode(),
            (packet.src[0], self.client_port),
        )

    def _take(self, packet, flow):
        flow.echo = packet.echo
        if not flow.is_open:
            if packet.ack != (flow.seq + 1) & MASK:
                # The client opened the flow at another endpoint.
                self.strays.append((time.monotonic(), *_ends(packet)))
                return
            flow.is_open = True
            flow.resend_s = RESEND_S
            flow.seq = (flow.seq + 1) & MASK
        if packet.flags & RST:
            flow.has_ended = True
            return
        flow.sent = [
            one for one in flow.sent if (packet.ack - one[0]) & MASK >= 2**31
        ]
        if not flow.sent:
            flow.resend_s = RESEND_S
        length = len(packet.data) + bool(packet.flags & FIN)
        if not length:
            return
        if packet.seq != flow.received:
            self._send(flow, ACK, flow.seq, b'')
            return
        flow.received = (flow.received + length) & MASK
        flow.unacked += 1
        if flow.unacked == 2:
            flow.unacked = 0
            self._send(flow, ACK, flow.seq, b'')
        if packet.data:
            self._spawn(self._run(flow, json.loads(packet.data)))
        if packet.flags & FIN:
            self._write(flow, FIN, b'')
            flow.has_ended = True

    async def _run(self, flow, request):
        async with self._slots:
            self.record('run', id=request['id'], endpoint=self.name)
            await asyncio.sleep(request['work_ms'] / 1000)
        answer = {'id': request['id'], 'endpoint': self.name}
        self._write(flow, 0, json.dumps(answer).encode())
        if self.state != 'ready':
            self._write(flow, FIN, b'')

    def _write(self, flow, flags, data):
        if flow.has_ended:
            return
        after = (flow.seq + len(data) + bool(flags)) & MASK
        flow.sent.append((after, flags, data, flow.seq))
        flow.resend_at = time.monotonic() + flow.resend_s
        self._send(flow, flags | ACK, flow.seq, data)
        flow.seq = after

    def _send(self, flow, flags, seq, data):
        packet = Packet(
            seq,
            flow.received,
            flow.client,
            flow.route,
            flow.echo,
            flags,
            data,
        )
        if random.random() < self.loss:
            self.record('lost', port=flow.client[1], flags=flags)
            return
        self._transport.sendto(
            packet.encode(), (flow.client[0], self.client_port)
        )

    async def _tick(self):
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            for flow in self.flows.values():
                if not flow.is_open:
                    is_due = now >= flow.resend_at
                    if is_due and flow.opening_tries <= MAX_TRIES:
                        self._answer_opening(flow)
                elif flow.sent and now >= flow.resend_at:
                    flow.resend_s = min(2 * flow.resend_s, MAX_RESEND_S)
                    flow.resend_at = now + flow.resend_s
                    for _after, flags, data, seq in flow.sent:
                        self._send(flow, flags | ACK, seq, data)


class _Receiver(asyncio.DatagramProtocol):
    """Passes datagrams to a callback."""

    def __init__(self, take):
        self._take = take

    def datagram_received(self, data, addr):
        """Pass a datagram on."""
        self._take(data, addr)
