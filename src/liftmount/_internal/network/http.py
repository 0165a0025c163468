"""HTTP/1.1 over asyncio streams, with httptools for the protocol.

One client connection and one small server; both import little, since a
balancer serves packets only after its first calls.
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

# A peer that a cut hides is noticed after this long; both the data that is
# not acknowledged and an idle connection count.
DEAD_PEER_MS = 2_500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# An answer that has begun is given up once no byte of it came for this long,
# never for the time it takes as a whole: its size is up to who wrote what is
# read.  A list of 1,700 routes takes 1.1 s on a link of 2 Mbit/s; with a
# limit of 1 s on all of it no balancer on such a link ever got one.  A lost
# packet holds bytes up for some 0.3 s.
PROGRESS_TIMEOUT_MS = 1_000


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


async def _read_message(reader, parser, message, on_progress=None) -> bool:
    """Read one message; False if the peer closed before it began.

    ``on_progress()`` is called for each part.  Raises ConnectionResetError
    if the peer broke off in the middle.
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
    """Ends a call that makes no progress.

    ``limit`` is that of asyncio.timeout, which ends the call at first when
    no answer begins.
    """

    def __init__(self, limit: asyncio.Timeout):
        self._limit = limit
        self._loop = asyncio.get_running_loop()
        self._began_s = None

    def extend(self) -> None:
        """Wait on, as a part of the answer has come."""
        now_s = self._loop.time()
        if self._began_s is None:
            self._began_s = now_s
        self._limit.reschedule(now_s + seconds(PROGRESS_TIMEOUT_MS))

    def elapsed_ms(self) -> int:
        """Return the time since the first part of the answer."""
        return round((self._loop.time() - self._began_s) * MS_PER_SECOND)


async def wait_for_socket(
    socket: RawSocket, for_writing: bool, timeout_ms: float
) -> None:
    """Return once a socket can be read or written; raises TimeoutError."""
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
    """One connection to a server, opened when needed, one call at once.

    After an error or a time-out it is closed: an answer that comes late
    must not be taken for that of the next call.  ``local_ip`` is the
    address that it is made from, if that matters.
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
        """Return the answer to one call; raises HttpError without one.

        It has to begin within ``timeout_ms``, and to go on without a pause
        of STALL_MS.
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
        """Connect unless connected; raises OSError."""
        if self._writer is not None and not self._writer.is_closing():
            return
        local = (self._local_ip, 0) if self._local_ip else None
        self._reader, self._writer = await asyncio.open_connection(
            self.address.ip, self.address.port, local_addr=local
        )
        watch_for_dead_peer(self._writer.get_extra_info('socket'))

    @property
    def is_open(self) -> bool:
        """Tell whether the server accepted the connection."""
        return self._writer is not None

    def close(self) -> None:
        """Drop the connection."""
        if self._writer is not None:
            self._writer.close()
        self._writer = None

    async def _exchange(self, method, target, body, timeout):
        request = encode_request(method, target, self.address, body)
        self._writer.write(request)
        message = HttpMessage()
        parser = HttpResponseParser(message)
        note = timeout.extend
        if not await _read_message(self._reader, parser, message, note):
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
        """Serve at an address, on a socket that is bound to it if given."""
        if bound is None:
            self._server = await asyncio.start_server(
                self._serve, address.ip, address.port
            )
            return
        full = socket.socket(fileno=bound.detach())
        self._server = await asyncio.start_server(self._serve, sock=full)

    def close(self) -> None:
        """Stop taking connections."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader, writer):
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, HttpParserError, asyncio.CancelledError):
            # The caller broke off or spoke something else, or we stop.
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
