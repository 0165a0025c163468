"""A UDP socket that hands each datagram to a callback."""

import asyncio
import socket

from liftmount._internal.models.addresses import Endpoint

BUFFER_BYTES = 4 * 1_048_576


class UdpSocket(asyncio.DatagramProtocol):
    """One bound UDP socket."""

    def __init__(self, on_datagram):
        self._on_datagram = on_datagram
        self._transport = None
        self.sent_bytes = 0

    @classmethod
    async def bind(cls, address: Endpoint, on_datagram):
        """Bind ``address``; ``on_datagram(data, source_pair)``."""
        protocol = cls(on_datagram)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: protocol, local_addr=address.socket_address()
        )
        return protocol

    def connection_made(self, transport):
        """Note the transport and widen its buffers."""
        self._transport = transport
        raw = transport.get_extra_info('socket')
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)

    def datagram_received(self, data, addr):
        """Hand a datagram on."""
        self._on_datagram(data, addr)

    def error_received(self, exc):
        """Ignore ICMP errors: loss is found by those who wait."""

    @property
    def address(self) -> Endpoint:
        """Return the address that is bound."""
        pair = self._transport.get_extra_info('sockname')
        return Endpoint(pair[0], pair[1])

    def send(self, data: bytes, destination) -> None:
        """Send a datagram to an (ip, port) pair."""
        if self._transport is None or self._transport.is_closing():
            return
        self.sent_bytes += len(data)
        self._transport.sendto(data, destination)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
