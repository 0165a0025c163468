"""HTTP/1.1 over asyncio streams, with h11 for the protocol.

One client connection and one small server; both import little, since a
balancer serves packets only after its first calls.
"""

import asyncio
import socket

from attrs import frozen
import h11

from liftmount._internal.clock import seconds
from liftmount._internal.exceptions import HttpError
from liftmount._internal.models.addresses import Endpoint

READ_BYTES = 65_536
# A peer that a cut hides is noticed after this long; both the data that is
# not acknowledged and an idle connection count.
DEAD_PEER_MS = 2_500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MAX_BODY_BYTES = 64 * 1_048_576


@frozen
class HttpAnswer:
    """Status, headers with lower-case names, and the whole body."""

    status: int
    body: bytes
    headers: dict[str, str]


def watch_for_dead_peer(raw: socket.socket) -> None:
    """Let the kernel break connections whose peer is silent."""
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, DEAD_PEER_MS)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        raw.setsockopt(socket.IPPROTO_TCP, option, value)


class HttpConnection:
    """One connection to a server, opened when needed, one call at once.

    After an error or a time-out it is closed: an answer that comes late
    must not be taken for that of the next call.
    """

    def __init__(self, address: Endpoint):
        self.address = address
        self._reader = None
        self._writer = None
        self._protocol = None

    async def request(
        self,
        method: str,
        target: str,
        timeout_ms: float,
        body: bytes = b'',
    ) -> HttpAnswer:
        """Return the answer to one call; raises HttpError without one."""
        try:
            async with asyncio.timeout(seconds(timeout_ms)):
                await self.open()
                return await self._exchange(method, target, body)
        except (OSError, h11.ProtocolError, TimeoutError) as error:
            self.close()
            text = f'{method} {target}: {type(error).__name__} {error}'
            raise HttpError(text) from error
        except asyncio.CancelledError:
            self.close()
            raise

    async def open(self) -> None:
        """Connect unless connected; raises OSError."""
        if self._writer is not None and not self._writer.is_closing():
            return
        self._reader, self._writer = await asyncio.open_connection(
            self.address.ip, self.address.port
        )
        watch_for_dead_peer(self._writer.get_extra_info('socket'))
        self._protocol = h11.Connection(h11.CLIENT)

    @property
    def is_open(self) -> bool:
        """Tell whether the server accepted the connection."""
        return self._writer is not None

    def close(self) -> None:
        """Drop the connection."""
        if self._writer is not None:
            self._writer.close()
        self._writer = None

    async def _exchange(self, method, target, body):
        headers = [('Host', str(self.address))]
        if body:
            headers.append(('Content-Type', 'application/json'))
            headers.append(('Content-Length', str(len(body))))
        request = h11.Request(method=method, target=target, headers=headers)
        protocol = self._protocol
        data = protocol.send(request)
        if body:
            data += protocol.send(h11.Data(data=body))
        data += protocol.send(h11.EndOfMessage())
        self._writer.write(data)
        answer = await self._read_answer()
        if protocol.our_state is h11.MUST_CLOSE:
            self.close()
        else:
            protocol.start_next_cycle()
        return answer

    async def _read_answer(self):
        parts = []
        response = None
        while True:
            event = self._protocol.next_event()
            match event:
                case h11.NEED_DATA:
                    data = await self._reader.read(READ_BYTES)
                    self._protocol.receive_data(data)
                case h11.Response():
                    response = event
                case h11.Data():
                    parts.append(bytes(event.data))
                case h11.EndOfMessage():
                    break
                case h11.ConnectionClosed():
                    raise ConnectionResetError('closed before an answer')
        headers = {
            name.decode('latin-1'): value.decode('latin-1')
            for name, value in response.headers
        }
        return HttpAnswer(response.status_code, b''.join(parts), headers)


class HttpServer:
    """Answers GET by ``answer(path)``, which returns an HttpAnswer."""

    def __init__(self, answer):
        self._answer = answer
        self._server = None

    async def start(self, address: Endpoint) -> None:
        """Bind and serve."""
        self._server = await asyncio.start_server(
            self._serve, address.ip, address.port
        )

    def close(self) -> None:
        """Stop taking connections."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader, writer):
        protocol = h11.Connection(h11.SERVER)
        try:
            while await self._serve_one(protocol, reader, writer):
                protocol.start_next_cycle()
        except (OSError, h11.ProtocolError):
            # The caller broke off or spoke something else: its loss.
            pass
        finally:
            writer.close()

    async def _serve_one(self, protocol, reader, writer):
        request = None
        while True:
            event = protocol.next_event()
            match event:
                case h11.NEED_DATA:
                    data = await reader.read(READ_BYTES)
                    protocol.receive_data(data)
                case h11.Request():
                    request = event
                case h11.EndOfMessage():
                    break
                case h11.ConnectionClosed():
                    return False
        answer = self._answer(request.target.decode('latin-1'))
        headers = [('Content-Length', str(len(answer.body)))]
        headers += list(answer.headers.items())
        response = h11.Response(status_code=answer.status, headers=headers)
        data = protocol.send(response)
        data += protocol.send(h11.Data(data=answer.body))
        data += protocol.send(h11.EndOfMessage())
        writer.write(data)
        await writer.drain()
        return protocol.our_state is not h11.MUST_CLOSE
