"""The two ends of a flow: segments, acknowledgements, resends.

As the platform's pages describe it: up to 16 packets under way, every
second one acknowledged, what is missing sent again after 200 ms and then
after twice as long each time, up to 1.6 s.
"""

from zlib import crc32

from attrs import define
from attrs import Factory

from liftmount.platform import packet_headers

SYN = packet_headers.SYN
ACK = 128
FIN = packet_headers.FIN
RST = packet_headers.RST
# Data of a packet, packets under way, and waits before they are sent
# again, as the platform's clients and targets have them.
DATA_BYTES = 1_200
WINDOW = 16
FIRST_RESEND_MS = 200
LONGEST_RESEND_MS = 1_600
MASK = 2**32 - 1
# Where the sum of a head stands, where the tag, and the byte of no meaning.
SUM = slice(26, 30)
TAG = slice(22, 26)
PAD = slice(31, 32)
KEY = b'soak'


@define
class Packet:
    """A packet, decoded; both addresses as (IP number, port)."""

    sequence: int
    acknowledgement: int
    destination: tuple
    source: tuple
    tag: int
    flags: int
    payload: bytes = b''
    total: int = 0

    def encode(self) -> bytes:
        """Return the datagram, with its sum."""
        head = packet_headers.HEADER.pack(
            self.sequence & MASK,
            self.acknowledgement & MASK,
            len(self.payload),
            *self.destination,
            *self.source,
            self.tag,
            0,
            self.flags,
            0,
        )
        data = head + self.payload
        total = make_sum(data).to_bytes(4, 'little')
        return data[: SUM.start] + total + data[SUM.stop :]


def make_sum(datagram: bytes) -> int:
    """Return the sum over what nobody on the way may change."""
    flags = datagram[SUM.stop : PAD.start]
    body = datagram[: TAG.start] + flags + datagram[PAD.stop :]
    return crc32(KEY + body) or 1


def decode(datagram: bytes) -> Packet:
    """Read a datagram."""
    found = packet_headers.HEADER.unpack_from(datagram)
    sequence, acknowledgement, length = found[:3]
    return Packet(
        sequence,
        acknowledgement,
        found[3:5],
        found[5:7],
        found[7],
        found[9],
        datagram[
            packet_headers.HEADER.size : packet_headers.HEADER.size + length
        ],
        found[8],
    )


def flow_key(packet: Packet) -> tuple:
    """Return what names a flow, from a client's packet."""
    return (*packet.source, *packet.destination)


def is_unchanged(datagram: bytes) -> bool:
    """Tell whether a packet is as its sender wrote it."""
    return decode(datagram).total == make_sum(datagram)


def _behind(one, other):
    """Tell whether sequence number ``one`` comes before ``other``."""
    return 0 < (other - one) & MASK < 2**31


@define(eq=False)
class End:
    """One end of an open flow; ``send(flags, sequence, payload)``."""

    send: object
    sequence: int
    received: int
    unsent: list = Factory(list)
    under_way: dict = Factory(dict)
    resend_ms: int = FIRST_RESEND_MS
    resend_at_ms: int = 0
    resends: int = 0
    unacknowledged: int = 0
    has_closed: bool = False
    was_closed: bool = False

    def write(self, data: bytes, now_ms: int) -> None:
        """Send data, in as many segments as it takes."""
        for start in range(0, len(data), DATA_BYTES):
            self.unsent.append((0, data[start : start + DATA_BYTES]))
        self._send_more(now_ms)

    def close(self, now_ms: int) -> None:
        """Say that no more data follow."""
        if not self.has_closed:
            self.has_closed = True
            self.unsent.append((FIN, b''))
            self._send_more(now_ms)

    def _send_more(self, now_ms):
        while self.unsent and len(self.under_way) < WINDOW:
            flags, data = self.unsent.pop(0)
            if not self.under_way:
                self.resend_at_ms = now_ms + self.resend_ms
            self.under_way[self.sequence] = (flags, data)
            self.send(flags | ACK, self.sequence, data)
            self.sequence = (self.sequence + len(data) + bool(flags)) & MASK

    def take(self, packet: Packet, now_ms: int) -> bytes:
        """Take the other end's packet; return new data in order."""
        self._acknowledged(packet.acknowledgement, now_ms)
        length = len(packet.payload) + bool(packet.flags & FIN)
        if not length:
            return b''
        if packet.sequence != self.received:
            # Out of order or old: say again what is expected.
            self.send(ACK, self.sequence, b'')
            return b''
        self.received = (self.received + length) & MASK
        self.unacknowledged += 1
        is_end = bool(packet.flags & FIN)
        self.was_closed = self.was_closed or is_end
        if self.unacknowledged >= 2 or is_end:
            self.unacknowledged = 0
            self.send(ACK, self.sequence, b'')
        return packet.payload

    def _acknowledged(self, number, now_ms):
        done = [one for one in self.under_way if _behind(one, number)]
        for one in done:
            del self.under_way[one]
        if done:
            self.resends = 0
            self.resend_ms = FIRST_RESEND_MS
            self.resend_at_ms = now_ms + self.resend_ms
        self._send_more(now_ms)

    def tick(self, now_ms: int) -> None:
        """Send again what was not acknowledged in time."""
        if not self.under_way or now_ms < self.resend_at_ms:
            return
        self.resends += 1
        self.resend_ms = min(2 * self.resend_ms, LONGEST_RESEND_MS)
        self.resend_at_ms = now_ms + self.resend_ms
        for sequence, (flags, data) in list(self.under_way.items()):
            self.send(flags | ACK, sequence, data)
