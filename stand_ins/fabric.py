"""Stand-in for the fabric: sends each datagram to a random balancer.

Binds a UDP socket for each service address, wraps each datagram of a caller
in an envelope and sends it to a balancer; datagrams of balancers take the
reverse path.  ``POST /set`` on the control address changes balancers,
addresses and faults (loss, duplication, delay, reordering).
"""

import asyncio
import random

from aiohttp import web
from attrs import define

from liftmount._internal.exceptions import PacketError
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.addresses import parse_endpoint
from liftmount._internal.models.envelopes import decode_fabric
from liftmount._internal.models.envelopes import encode_fabric
from liftmount._internal.models.envelopes import FabricEnvelope
from liftmount._internal.network.udp import UdpSocket
from stand_ins.serving import run_program
from stand_ins.serving import serve_control


@define
class Faults:
    """Share of datagrams with each fault, and the delays.

    ``held_ms`` bounds the extra delay of duplicated and reordered datagrams.
    """

    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    delay_ms: int = 0
    held_ms: int = 50


class Fabric:
    """Sockets of all service addresses and of the return path."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.faults = Faults()
        self.balancers = []
        self.addresses = {}
        self.return_socket = None
        self.passed = 0

    async def bind_address(self, text):
        """Bind one service address, if it is not bound yet."""
        if text in self.addresses:
            return
        address = parse_endpoint(text)

        def on_datagram(data, source):
            self._forward_inward(address, data, source)

        self.addresses[text] = await UdpSocket.bind(address, on_datagram)

    def _forward_inward(self, address, data, source):
        if not self.balancers:
            return
        envelope = FabricEnvelope(
            source[0], source[1], address.ip, address.port, data
        )
        encoded = encode_fabric(envelope)
        for delay_ms in self._draw_delays():
            balancer = self.random.choice(self.balancers)
            self._send_later(delay_ms, self.return_socket, encoded, balancer)

    def forward_outward(self, data, _source):
        """Send a balancer's datagram to its caller."""
        try:
            envelope = decode_fabric(data)
        except PacketError:
            return
        address = Endpoint(envelope.address_ip, envelope.address_port)
        socket = self.addresses.get(str(address))
        if socket is None:
            return
        caller = (envelope.caller_ip, envelope.caller_port)
        for delay_ms in self._draw_delays():
            self._send_later(delay_ms, socket, envelope.datagram, caller)

    def _draw_delays(self):
        """Return the delay of each copy of a datagram; none if it is lost."""
        faults = self.faults
        draw = self.random.random
        if draw() < faults.loss:
            return []
        delays = [faults.delay_ms]
        if draw() < faults.duplication:
            held_ms = self.random.randint(0, faults.held_ms)
            delays.append(faults.delay_ms + held_ms)
        if draw() < faults.reordering:
            delays[0] += self.random.randint(1, faults.held_ms)
        return delays

    def _send_later(self, delay_ms, socket, data, destination):
        self.passed += 1
        if delay_ms <= 0:
            socket.send(data, destination)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(delay_ms / 1000, socket.send, data, destination)

    async def set(self, request):
        """Change the balancers, addresses and faults of the request."""
        document = await request.json()
        if 'balancers' in document:
            self.balancers = [
                parse_endpoint(one).socket_address()
                for one in document['balancers']
            ]
        for text in document.get('addresses', ()):
            await self.bind_address(text)
        for key, value in document.get('faults', {}).items():
            setattr(self.faults, key, value)
        return web.json_response({'passed': self.passed})


async def serve(options):
    """Serve until cancelled."""
    fabric = Fabric(options.seed)
    fabric.return_socket = await UdpSocket.bind(
        parse_endpoint(options.way_back), fabric.forward_outward
    )
    await serve_control('fabric', options.control, fabric.set)


if __name__ == '__main__':
    run_program(__doc__, {'--way-back': 'IP:PORT'}, serve)
