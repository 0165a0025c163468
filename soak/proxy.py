"""A loopback proxy for one address, TCP and UDP, that can be harmed."""

import asyncio
from enum import Enum

from liftmount._internal.clock import seconds
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.network.udp import UdpSocket

# Longer than a client waits before it sends again.
DELAY_MS = 250
CHUNK_BYTES = 65_536


class Harm(Enum):
    """What is wrong with a way.

    ``SILENT`` loses all both ways while connections seem to stay open,
    ``ONE_WAY`` only what comes back, ``RESET`` breaks connections off,
    refuses new ones and loses datagrams, ``DELAYED`` holds all up by a
    quarter of a second.
    """

    NONE = 'none'
    SILENT = 'silent'
    ONE_WAY = 'one way'
    RESET = 'reset'
    DELAYED = 'delayed'


class Proxy:
    """Passes what arrives at ``listen`` on to ``forward``."""

    def __init__(self, listen: Endpoint, forward: Endpoint):
        self.listen = listen
        self.forward = forward
        self.harm = Harm.NONE
        self._server = None
        self._udp = None
        self._writers = set()
        self._tasks = set()

    async def start(self, with_udp: bool) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._on_connection, self.listen.ip, self.listen.port
        )
        if with_udp:
            self._udp = await UdpSocket.bind(self.listen, self._on_datagram)

    def set_harm(self, harm: Harm) -> None:
        """Change what is wrong; bytes that were lost stay lost."""
        self.harm = harm
        if harm is Harm.RESET:
            for writer in list(self._writers):
                writer.transport.abort()

    def close(self) -> None:
        """End everything."""
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
            # Either end broke off; so does the other.
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
            # A partition holds bytes up until it heals.
            while self.harm is Harm.SILENT or (
                self.harm is Harm.ONE_WAY and is_back
            ):
                await asyncio.sleep(0.05)
            writer.write(data)
            await writer.drain()
