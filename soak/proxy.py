"""A loopback proxy for one address, TCP and UDP, that injects faults."""

import asyncio
from enum import Enum

from liftmount._internal.clock import seconds
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.network.udp import UdpSocket

# Longer than the first resend time of a flow.
DELAY_MS = 250
CHUNK_BYTES = 65_536


class Harm(Enum):
    """Fault of a link.

    ``SILENT`` drops datagrams and stalls TCP in both directions while
    connections stay open, ``ONE_WAY`` stalls TCP towards the caller only,
    ``RESET`` aborts connections, closes new ones and drops datagrams,
    ``DELAYED`` delays everything by DELAY_MS.
    """

    NONE = 'none'
    SILENT = 'silent'
    ONE_WAY = 'one way'
    RESET = 'reset'
    DELAYED = 'delayed'


class Proxy:
    """Forwards TCP and datagrams from ``listen`` to ``forward``."""

    def __init__(self, listen: Endpoint, forward: Endpoint):
        self.listen = listen
        self.forward = forward
        self.harm = Harm.NONE
        self._server = None
        self._udp = None
        self._writers = set()
        self._tasks = set()

    async def start(self, with_udp: bool) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(
            self._on_connection, self.listen.ip, self.listen.port
        )
        if with_udp:
            self._udp = await UdpSocket.bind(self.listen, self._on_datagram)

    def set_harm(self, harm: Harm) -> None:
        """Set the fault of the link; RESET aborts open connections."""
        self.harm = harm
        if harm is Harm.RESET:
            for writer in list(self._writers):
                writer.transport.abort()

    def close(self) -> None:
        """Close all sockets and connections."""
        self._server.close()
        if self._udp is not None:
            self._udp.close()
        for task in self._tasks:
            task.cancel()

    def _on_datagram(self, data, _source):
        if self.harm in (Harm.SILENT, Harm.RESET):
            return
        delay_ms = DELAY_MS if self.harm is Harm.DELAYED else 0
        asyncio.get_running_loop().call_later(
            seconds(delay_ms),
            self._udp.send,
            data,
            self.forward.socket_address(),
        )

    async def _on_connection(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        upstream = None
        try:
            if self.harm is not Harm.RESET:
                upstream_reader, upstream = await asyncio.open_connection(
                    *self.forward.socket_address()
                )
                self._writers.add(upstream)
                await self._pump_both(
                    reader, writer, upstream_reader, upstream
                )
        except (OSError, asyncio.CancelledError):
            # One side failed: close the other as well.
            pass
        finally:
            self._tasks.discard(task)
            for one in (writer, upstream):
                if one is not None:
                    self._writers.discard(one)
                    one.transport.abort()

    async def _pump_both(self, reader, writer, upstream_reader, upstream):
        pumps = [
            asyncio.create_task(self._pump(reader, upstream, is_back=False)),
            asyncio.create_task(
                self._pump(upstream_reader, writer, is_back=True)
            ),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)

    async def _pump(self, reader, writer, is_back):
        while data := await reader.read(CHUNK_BYTES):
            if self.harm is Harm.DELAYED:
                await asyncio.sleep(seconds(DELAY_MS))
            # TCP would resend the bytes after the partition: hold them.
            while self.harm is Harm.SILENT or (
                self.harm is Harm.ONE_WAY and is_back
            ):
                await asyncio.sleep(0.05)
            writer.write(data)
            await writer.drain()
