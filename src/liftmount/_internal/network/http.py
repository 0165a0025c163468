"""HTTP/1.1 client connection and server over asyncio streams.

httptools parses the protocol.  A full HTTP library is not used because its
import would delay the start of a balancer.
"""

import asyncio
import socket

from httptools import HttpParserError
from httptools import HttpRequestParser
from httptools import HttpResponseParser

from liftmount._internal.clock import MS_PER_SECOND
from liftmount._internal.clock import seconds
from liftmount._internal.exceptions import HttpError
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.network.http_messages import encode_request
from liftmount._internal.network.http_messages import HttpAnswer
from liftmount._internal.network.http_messages import HttpMessage
from liftmount._internal.network.http_messages import READ_BYTES
from liftmount._internal.utils.raw_sockets import RawSocket

# TCP_USER_TIMEOUT; the keepalive settings detect dead peers of idle
# connections after about the same time.
DEAD_PEER_MS = 2_500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Longest pause within a response.  Its total time has no limit, since large
# lists take long on slow links.
# A limit of 1 s on all of it would always fail for 1,700 routes at 2 Mbit/s
# (1.1 s).  A lost packet delays the bytes after it by some 0.3 s.
PROGRESS_TIMEOUT_MS = 1_000


def watch_for_dead_peer(raw: socket.socket) -> None:
    """Set TCP_NODELAY, and timeouts that detect an unreachable peer."""
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, DEAD_PEER_MS)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        raw.setsockopt(socket.IPPROTO_TCP, option, value)


async def _read_message(reader, parser, message, on_progress=None) -> bool:
    """Read one message; return False if the peer closed before it began.

    ``on_progress()`` is called for each chunk.  Raises
    ConnectionResetError if the peer closes within the message.
    """
    has_begun = False
    while not message.is_complete:
        data = await reader.read(READ_BYTES)
        if not data:
            if has_begun:
                raise ConnectionResetError('closed within a message')
            return False
        has_begun = True
        if on_progress is not None:
            on_progress()
        parser.feed_data(data)
    return True


class _ProgressTimeout:
    """Extends the timeout of a call while its response arrives.

    ``limit`` is an asyncio.Timeout that bounds the time until the first
    byte of the response.
    """

    def __init__(self, limit: asyncio.Timeout):
        self._limit = limit
        self._loop = asyncio.get_running_loop()
        self._began_s = None

    def extend(self) -> None:
        """Restart the timeout after a chunk of the response."""
        now_s = self._loop.time()
        if self._began_s is None:
            self._began_s = now_s
        self._limit.reschedule(now_s + seconds(PROGRESS_TIMEOUT_MS))

    def elapsed_ms(self) -> int:
        """Return the time since the first chunk of the response."""
        return round((self._loop.time() - self._began_s) * MS_PER_SECOND)


async def wait_for_socket(
    socket: RawSocket, for_writing: bool, timeout_ms: float
) -> None:
    """Wait until a socket is readable or writable; raises TimeoutError."""
    loop = asyncio.get_running_loop()
    add, remove = loop.add_reader, loop.remove_reader
    if for_writing:
        add, remove = loop.add_writer, loop.remove_writer
    usable = asyncio.Event()
    add(socket.fileno(), usable.set)
    try:
        async with asyncio.timeout(seconds(timeout_ms)):
            await usable.wait()
    finally:
        remove(socket.fileno())


class HttpConnection:
    """A persistent connection to a server, for one call at a time.

    It is opened on demand, and closed after an error or a timeout so that
    a late response is not taken for that of the next call.  ``local_ip``
    is the source address to bind, if any.
    """

    def __init__(self, address: Endpoint, local_ip: str = ''):
        self.address = address
        self._local_ip = local_ip
        self._reader = None
        self._writer = None

    async def request(
        self,
        method: str,
        target: str,
        timeout_ms: float,
        body: bytes = b'',
    ) -> HttpAnswer:
        """Send a request and return the response; raises HttpError.

        The response must begin within ``timeout_ms`` and then arrive
        without a pause longer than ``PROGRESS_TIMEOUT_MS``.
        """
        try:
            async with asyncio.timeout(seconds(timeout_ms)) as limit:
                await self.open()
                timeout = _ProgressTimeout(limit)
                return await self._exchange(method, target, body, timeout)
        except (OSError, HttpParserError, TimeoutError) as error:
            self.close()
            text = f'{method} {target}: {type(error).__name__} {error}'
            raise HttpError(text) from error
        except asyncio.CancelledError:
            self.close()
            raise

    async def open(self) -> None:
        """Connect unless already connected; raises OSError."""
        if self._writer is not None and not self._writer.is_closing():
            return
        local = (self._local_ip, 0) if self._local_ip else None
        self._reader, self._writer = await asyncio.open_connection(
            self.address.ip, self.address.port, local_addr=local
        )
        watch_for_dead_peer(self._writer.get_extra_info('socket'))

    @property
    def is_open(self) -> bool:
        """Return whether the connection is established."""
        return self._writer is not None

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._writer = None

    async def _exchange(self, method, target, body, timeout):
        request = encode_request(method, target, self.address, body)
        self._writer.write(request)
        message = HttpMessage()
        parser = HttpResponseParser(message)
        on_progress = timeout.extend
        if not await _read_message(self._reader, parser, message, on_progress):
            raise ConnectionResetError('closed before an answer')
        if not parser.should_keep_alive():
            self.close()
        status = parser.get_status_code()
        return HttpAnswer(
            status,
            bytes(message.body),
            message.headers,
            timeout.elapsed_ms(),
        )


class HttpServer:
    """Answers GET by ``answer(path)``, which returns an HttpAnswer."""

    def __init__(self, answer):
        self._answer = answer
        self._server = None

    async def start(
        self, address: Endpoint, bound: RawSocket | None = None
    ) -> None:
        """Listen on an address, or on a socket already bound to it."""
        if bound is None:
            self._server = await asyncio.start_server(
                self._serve, address.ip, address.port
            )
            return
        full = socket.socket(fileno=bound.detach())
        self._server = await asyncio.start_server(self._serve, sock=full)

    def close(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader, writer):
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, HttpParserError, asyncio.CancelledError):
            # The client disconnected or sent invalid HTTP, or we stop.
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer):
        message = HttpMessage()
        parser = HttpRequestParser(message)
        if not await _read_message(reader, parser, message):
            return False
        answer = self._answer(message.target)
        lines = [f'HTTP/1.1 {answer.status} -']
        lines.append(f'Content-Length: {len(answer.body)}')
        for name, value in answer.headers.items():
            lines.append(f'{name}: {value}')
        head = '\r\n'.join([*lines, '', '']).encode('latin-1')
        writer.write(head + answer.body)
        await writer.drain()
        return parser.should_keep_alive()
