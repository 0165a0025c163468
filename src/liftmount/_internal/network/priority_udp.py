"""A UDP socket whose urgent datagrams overtake those that wait.

An overloaded process leaves thousands of datagrams in its socket.  If the
answers of the failure detector waited behind them, the process would be held
for dead, and its load would go to others that are as busy.
"""

import asyncio
from collections import deque
import socket

from attrs import frozen

from liftmount._internal.clock import Clock
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.network.udp import BUFFER_BYTES

MAX_DATAGRAM_BYTES = 65_536
# Datagrams read in one turn of the event loop, more than the buffer holds.
MAX_READ = 16_384
# Datagrams handled in one turn, before urgent ones are looked for again.
MAX_HANDLED = 64
# By then the sender has sent its datagram again.
MAX_WAIT_MS = 1_000


@frozen
class _Waiting:
    data: bytes
    source: tuple
    read_ms: int


class PriorityUdpSocket:
    """One bound UDP socket; see ``bind``.

    ``on_expired(count)`` is called if datagrams have waited for longer than
    MAX_WAIT_MS and were dropped.
    """

    def __init__(self, raw, clock: Clock, on_datagram, is_urgent, on_expired):
        self._raw = raw
        self._clock = clock
        self._on_datagram = on_datagram
        self._is_urgent = is_urgent
        self._on_expired = on_expired
        self._waiting = deque()
        self._loop = asyncio.get_running_loop()
        self._is_scheduled = False
        self._loop.add_reader(raw.fileno(), self._read)

    @classmethod
    def bind(
        cls,
        address: Endpoint,
        clock: Clock,
        on_datagram,
        is_urgent,
        on_expired,
    ):
        """Return a socket bound to ``address``; raises OSError.

        ``on_datagram(data, source)`` is called with each datagram and its
        ``(ip, port)`` source, first for those of which ``is_urgent(data)``.
        """
        family = socket.AF_INET6 if ':' in address.ip else socket.AF_INET
        raw = socket.socket(family, socket.SOCK_DGRAM)
        try:
            raw.setblocking(False)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
            raw.bind(address.socket_address())
        except OSError:
            raw.close()
            raise
        return cls(raw, clock, on_datagram, is_urgent, on_expired)

    @property
    def address(self) -> Endpoint:
        """Return the bound address."""
        ip, port, *_rest = self._raw.getsockname()
        return Endpoint(ip, port)

    def send(self, data: bytes, destination) -> None:
        """Send a datagram to an ``(ip, port)`` pair; no-op once closed."""
        if self._raw is None:
            return
        try:
            self._raw.sendto(data, destination)
        except OSError:
            # ICMP errors and full buffers: senders detect loss by timeouts.
            return

    def close(self) -> None:
        """Close the socket; waiting datagrams are dropped."""
        if self._raw is None:
            return
        self._loop.remove_reader(self._raw.fileno())
        self._raw.close()
        self._raw = None
        self._waiting.clear()

    def _read(self):
        """Read all datagrams; handle urgent ones, queue the others."""
        now_ms = self._clock.now_ms()
        for _ in range(MAX_READ):
            if self._raw is None:
                return
            try:
                data, source = self._raw.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except OSError:
                # An ICMP error of an earlier send.
                continue
            if self._is_urgent(data):
                self._on_datagram(data, source)
            else:
                self._waiting.append(_Waiting(data, source, now_ms))
        if not self._is_scheduled:
            self._handle_waiting()

    def _handle_waiting(self):
        """Handle a few datagrams, and the others in later turns."""
        self._is_scheduled = False
        self._drop_expired()
        for _ in range(MAX_HANDLED):
            if not self._waiting:
                return
            one = self._waiting.popleft()
            self._on_datagram(one.data, one.source)
        if self._waiting:
            self._is_scheduled = True
            self._loop.call_soon(self._handle_waiting)

    def _drop_expired(self):
        oldest_ms = self._clock.now_ms() - MAX_WAIT_MS
        count = 0
        while self._waiting and self._waiting[0].read_ms < oldest_ms:
            self._waiting.popleft()
            count += 1
        if count:
            self._on_expired(count)
