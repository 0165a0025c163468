"""Clients and routers: open flows, send requests, pick balancers."""

import asyncio
import json
import random
import time
from zlib import crc32

from common.packets import ACK
from common.packets import decode
from common.packets import FIN
from common.packets import MASK
from common.packets import Packet
from common.packets import RST
from common.packets import SYN

COPIES_S = (0.2, 0.6)
OPEN_S = 1.4
RESEND_S = 0.2
MAX_RESEND_S = 1.6
CHECK_S = 0.5
CHECK_LIMIT_S = 0.45
MISSES = 2
# A reset of an open flow has a number this near to the client's last ``ack``.
WINDOW = 76_800


def _distance(one, other):
    return min((one - other) & MASK, (other - one) & MASK)


class Router:
    """Hands packets of clients in ``zone`` to balancers, hashed ``steady``."""

    def __init__(self, balancers, zone):
        self.balancers = balancers
        self.zone = zone
        self.misses = {one.name: MISSES for one in balancers}

    async def run(self):
        """Ask the balancers twice a second."""
        while True:
            pause = asyncio.sleep(CHECK_S)
            checks = [self._check(one) for one in self.balancers]
            await asyncio.gather(pause, *checks)

    async def _check(self, balancer):
        is_ready = False
        try:
            async with asyncio.timeout(CHECK_LIMIT_S):
                reader, writer = await asyncio.open_connection(
                    balancer.ip, balancer.ports['ready']
                )
                try:
                    writer.write(
                        b'GET /ready HTTP/1.1\r\nHost: ready\r\n'
                        b'Connection: close\r\n\r\n'
                    )
                    line = await reader.readline()
                    is_ready = line.split(b' ')[1:2] == [b'200']
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            pass
        if is_ready:
            self.misses[balancer.name] = 0
        else:
            self.misses[balancer.name] += 1

    def is_in(self, balancer):
        """Tell whether a balancer gets packets."""
        return self.misses[balancer.name] < MISSES

    def pick(self, key):
        """Return the balancer of a flow; None if none is in."""
        local = [one for one in self.balancers if one.zone == self.zone]
        found = [one for one in local if self.is_in(one)]
        if found and 2 * len(found) < len(local):
            found = local
        if not found:
            found = [one for one in self.balancers if self.is_in(one)]
        data = repr(key).encode()
        return max(
            found, key=lambda one: crc32(data, crc32(one.name.encode()))
        )


class Flow:
    """A client's flow to a route."""

    def __init__(self, host, port, route):
        self.host = host
        self.src = (host.ip, port)
        self.route = route
        self.seq = random.getrandbits(32)
        self.received = 0
        self.echo = 0
        self.opened = asyncio.get_running_loop().create_future()
        self.answer = None
        self.is_open = False
        # 'reset by system', 'reset by endpoint' or 'closed'.
        self.end = ''
        self.ended_at = 0.0
        self.sent = None
        self.resend_s = RESEND_S
        self.resend_at = 0.0

    def send(self, flags, seq, data=b''):
        """Send a packet through the balancer that the router picks."""
        ack = self.received
        self.host.send(
            self,
            Packet(seq, ack, self.route, self.src, self.echo, flags, data),
        )

    async def open(self):
        """Open the flow; return whether it opened."""
        waited = 0.0
        for copy, at in enumerate((*COPIES_S, OPEN_S)):
            packet = Packet(self.seq, copy, self.route, self.src, 0, SYN)
            self.host.send(self, packet)
            await asyncio.wait({self.opened}, timeout=at - waited)
            waited = at
            if self.opened.done():
                break
        return self.is_open

    async def request(self, name, work_ms, limit_s):
        """Send a request; return its answer, None if there was none."""
        if self.end:
            return None
        data = json.dumps({'id': name, 'work_ms': work_ms}).encode()
        self.answer = asyncio.get_running_loop().create_future()
        self.sent = (self.seq, data)
        self.seq = (self.seq + len(data)) & MASK
        self.resend_s = RESEND_S
        self.resend_at = time.monotonic() + RESEND_S
        self.host.record('sent', id=name, port=self.src[1], route=self.route)
        self.send(ACK, *self.sent)
        await asyncio.wait({self.answer}, timeout=limit_s)
        self.sent = None
        answer = self.answer.result() if self.answer.done() else None
        self.host.record(
            'answered' if answer else 'no answer',
            id=name,
            end=self.end or None,
            answer=answer,
        )
        return answer

    def close(self):
        """Send FIN."""
        if self.is_open and not self.end:
            self.send(FIN | ACK, self.seq)
            self.seq = (self.seq + 1) & MASK
            self._finish('closed')

    def _finish(self, how):
        self.end = how
        self.ended_at = time.monotonic()
        for future in (self.opened, self.answer):
            if future is not None and not future.done():
                future.set_result(None)

    def receive(self, packet, source):
        """Handle a packet for this flow."""
        if self.end:
            return
        if packet.flags & RST:
            if self.is_open and _distance(packet.seq, self.received) > WINDOW:
                return
            by = 'system' if packet.total == 0 else 'endpoint'
            self.host.record(
                f'reset by {by}',
                port=self.src[1],
                route=self.route,
                was_open=self.is_open,
                source=source[0],
            )
            self._finish(f'reset by {by}')
        elif not self.is_open:
            if packet.flags & SYN:
                self.is_open = True
                self.echo = packet.echo
                self.seq = (self.seq + 1) & MASK
                self.received = (packet.seq + 1) & MASK
                self.send(ACK, self.seq)
                self.opened.set_result(None)
        elif packet.flags & SYN:
            # The answer of a further endpoint to the opening: the last echo.
            self.echo = packet.echo
        else:
            self._take(packet)

    def _take(self, packet):
        self.echo = packet.echo
        if self.sent is not None and packet.ack == self.seq:
            self.sent = None
        length = len(packet.data) + bool(packet.flags & FIN)
        if not length:
            return
        if packet.seq != self.received:
            self.send(ACK, self.seq)
            return
        self.received = (self.received + length) & MASK
        self.send(ACK, self.seq)
        is_waiting = self.answer is not None and not self.answer.done()
        if packet.data and is_waiting:
            self.answer.set_result(json.loads(packet.data))
        if packet.flags & FIN:
            self.send(FIN | ACK, self.seq)
            self._finish('closed by endpoint')

    def tick(self, now):
        """Send again what was not acknowledged."""
        if self.sent is not None and not self.end and now >= self.resend_at:
            self.resend_s = min(2 * self.resend_s, MAX_RESEND_S)
            self.resend_at = now + self.resend_s
            self.send(ACK, *self.sent)


class Host(asyncio.DatagramProtocol):
    """The clients at one IP address."""

    def __init__(self, record, ip, port, router):
        self.record = record
        self.ip = ip
        self.port = port
        self.router = router
        self.flows = {}
        self.changed = 0
        self._next_port = 10_000
        self._transport = None

    async def start(self):
        """Bind the address at which clients receive packets."""
        loop = asyncio.get_running_loop()
        self._transport, _protocol = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.port)
        )

    def close(self):
        """Close the socket."""
        self._transport.close()

    def flow(self, route):
        """Return a new flow, from a new port."""
        self._next_port += 1
        flow = Flow(self, self._next_port, route)
        self.flows[self._next_port] = flow
        return flow

    def send(self, flow, packet):
        """Hand a packet to a balancer."""
        balancer = self.router.pick((flow.src, flow.route))
        self._transport.sendto(
            packet.encode(), (balancer.ip, balancer.ports['packets'])
        )

    def datagram_received(self, data, addr):
        """Handle a packet."""
        packet = decode(data)
        flow = self.flows.get(packet.dst[1])
        if flow is None:
            return
        is_system_reset = packet.flags & RST and packet.total == 0
        if not is_system_reset and not packet.is_unchanged():
            self.changed += 1
            return
        flow.receive(packet, addr)

    async def run(self):
        """Send again what is due."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for flow in list(self.flows.values()):
                flow.tick(now)
