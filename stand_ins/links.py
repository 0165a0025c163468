"""Fault-injecting proxy between balancers, and to targets.

Each link forwards UDP or TCP from one address to another.  Senders are
identified by their IP address.  ``POST /set`` sets the pairs of groups that
are partitioned from each other, and faults of datagrams.
"""

import asyncio
import json
from pathlib import Path
import random

from aiohttp import web
from attrs import define
from attrs import frozen

from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.addresses import parse_endpoint
from liftmount._internal.network.udp import UdpSocket
from stand_ins.serving import run_program
from stand_ins.serving import serve_control

CHUNK_BYTES = 65_536


@frozen
class LinkPlan:
    """One link; ``group`` is that of the process it forwards to."""

    listen: str
    forward: str
    group: str
    transport: str


@define
class Faults:
    """Share of datagrams with each fault, and their largest delay."""

    loss: float = 0.0
    duplication: float = 0.0
    held_ms: int = 0


class Links:
    """All links of one run."""

    def __init__(self, groups, seed):
        self.groups = groups
        self.random = random.Random(seed)
        self.faults = Faults()
        self.cuts = set()
        self.open = set()

    def is_cut(self, source_ip, group):
        """Tell whether a sender is partitioned from a group."""
        source = self.groups.get(source_ip, '')
        return frozenset((source, group)) in self.cuts

    async def add(self, plan):
        """Open one link."""
        listen = parse_endpoint(plan.listen)
        forward = parse_endpoint(plan.forward)
        if plan.transport == 'udp':
            await self._add_udp(listen, forward, plan.group)
        else:
            await self._add_tcp(listen, forward, plan.group)

    async def _add_udp(self, listen, forward, group):
        pair = forward.socket_address()

        def on_datagram(data, source):
            if self.is_cut(source[0], group):
                return
            for delay_ms in self._draw_delays():
                loop = asyncio.get_running_loop()
                loop.call_later(delay_ms / 1000, socket.send, data, pair)

        socket = await UdpSocket.bind(listen, on_datagram)

    def _draw_delays(self):
        faults = self.faults
        if self.random.random() < faults.loss:
            return []
        held_ms = faults.held_ms
        delays = [self.random.uniform(0, held_ms) if held_ms else 0]
        if self.random.random() < faults.duplication:
            delays.append(self.random.uniform(0, held_ms))
        return delays

    async def _add_tcp(self, listen: Endpoint, forward: Endpoint, group):
        async def on_connection(reader, writer):
            source_ip = writer.get_extra_info('peername')[0]
            connection = (source_ip, group, writer)
            self.open.add(connection)
            try:
                if not self.is_cut(source_ip, group):
                    await self._pump_both(reader, writer, forward)
            except OSError:
                pass
            finally:
                self.open.discard(connection)
                writer.transport.abort()

        await asyncio.start_server(on_connection, listen.ip, listen.port)

    async def _pump_both(self, reader, writer, forward):
        upstream_reader, upstream_writer = await asyncio.open_connection(
            forward.ip, forward.port
        )
        try:
            tasks = {
                asyncio.create_task(_pump(reader, upstream_writer)),
                asyncio.create_task(_pump(upstream_reader, writer)),
            }
            _done, pending = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            for task in pending:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        finally:
            upstream_writer.transport.abort()

    async def set(self, request):
        """Change cuts and faults; abort connections that are cut."""
        document = await request.json()
        if 'cuts' in document:
            self.cuts = {frozenset(pair) for pair in document['cuts']}
            for source_ip, group, writer in list(self.open):
                if self.is_cut(source_ip, group):
                    writer.transport.abort()
        for key, value in document.get('faults', {}).items():
            setattr(self.faults, key, value)
        return web.json_response({})


async def _pump(reader, writer):
    while data := await reader.read(CHUNK_BYTES):
        writer.write(data)
        await writer.drain()


async def serve(options):
    """Serve until cancelled."""
    document = json.loads(Path(options.plan).read_text())
    links = Links(document['groups'], options.seed)
    for one in document['links']:
        await links.add(LinkPlan(**one))
    await serve_control('links', options.control, links.set)


if __name__ == '__main__':
    run_program(__doc__, {'--plan': 'FILE'}, serve)
