"""A UDP socket that passes each datagram to a callback."""

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
        """Return a socket bound to ``address``.

        ``on_datagram(data, source)`` is called with each datagram and its
        ``(ip, port)`` source.
        """
        protocol = cls(on_datagram)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: protocol, local_addr=address.socket_address()
        )
        return protocol

    def connection_made(self, transport):
        """Store the transport and enlarge its socket buffers."""
        self._transport = transport
        raw = transport.get_extra_info('socket')
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)

    def datagram_received(self, data, addr):
        """Pass a datagram to the callback."""
        self._on_datagram(data, addr)

    def error_received(self, exc):
        """Ignore ICMP errors: senders detect loss by timeouts."""

    @property
    def address(self) -> Endpoint:
        """Return the bound address."""
        pair = self._transport.get_extra_info('sockname')
        return Endpoint(pair[0], pair[1])

    def send(self, data: bytes, destination) -> None:
        """Send a datagram to an ``(ip, port)`` pair; no-op once closed."""
        if self._transport is None or self._transport.is_closing():
            return
        self.sent_bytes += len(data)
        self._transport.sendto(data, destination)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
