"""Reliable transport of one flow: segments, acknowledgements, resends.

The sender has up to WINDOW_PACKETS unacknowledged packets and resends with
exponential backoff; the receiver acknowledges every second packet.
"""

from zlib import crc32

from attrs import define
from attrs import Factory

from liftmount.platform import packet_headers

SYN = packet_headers.SYN
ACK = 128
FIN = packet_headers.FIN
RST = packet_headers.RST
DATA_BYTES = 1_200
WINDOW_PACKETS = 16
FIRST_RESEND_MS = 200
MAX_RESEND_MS = 1_600
MASK = 2**32 - 1
# Fields of the packet header, see ``packet_headers.HEADER``.
CHECKSUM = slice(26, 30)
TAG = slice(22, 26)
PADDING = slice(31, 32)
CHECKSUM_KEY = b'soak'


@define
class Packet:
    """A decoded packet; addresses are (IP number, port)."""

    sequence: int
    acknowledgement: int
    destination: tuple
    source: tuple
    tag: int
    flags: int
    payload: bytes = b''
    checksum: int = 0

    def encode(self) -> bytes:
        """Return the datagram with its checksum."""
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
        checksum = compute_checksum(data).to_bytes(4, 'little')
        return data[: CHECKSUM.start] + checksum + data[CHECKSUM.stop :]


def compute_checksum(datagram: bytes) -> int:
    """Return the checksum of the fields that balancers must not change."""
    flags = datagram[CHECKSUM.stop : PADDING.start]
    body = datagram[: TAG.start] + flags + datagram[PADDING.stop :]
    return crc32(CHECKSUM_KEY + body) or 1


def decode(datagram: bytes) -> Packet:
    """Decode a datagram."""
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
    """Return the key of a flow from a client's packet."""
    return (*packet.source, *packet.destination)


def is_unchanged(datagram: bytes) -> bool:
    """Tell whether the checksum of a packet matches."""
    return decode(datagram).checksum == compute_checksum(datagram)


def _precedes(one, other):
    """Compare sequence numbers modulo 2**32."""
    return 0 < (other - one) & MASK < 2**31


@define(eq=False)
class FlowEnd:
    """One end of an open flow.

    ``send`` is called with (flags, sequence, payload).
    """

    send: object
    sequence: int
    received: int
    unsent: list = Factory(list)
    in_flight: dict = Factory(dict)
    resend_ms: int = FIRST_RESEND_MS
    resend_at_ms: int = 0
    resends: int = 0
    unacknowledged: int = 0
    has_sent_fin: bool = False
    has_received_fin: bool = False

    def write(self, data: bytes, now_ms: int) -> None:
        """Send data in segments of up to DATA_BYTES."""
        for start in range(0, len(data), DATA_BYTES):
            self.unsent.append((0, data[start : start + DATA_BYTES]))
        self._send_more(now_ms)

    def close(self, now_ms: int) -> None:
        """Send FIN after all data."""
        if not self.has_sent_fin:
            self.has_sent_fin = True
            self.unsent.append((FIN, b''))
            self._send_more(now_ms)

    def _send_more(self, now_ms):
        while self.unsent and len(self.in_flight) < WINDOW_PACKETS:
            flags, data = self.unsent.pop(0)
            if not self.in_flight:
                self.resend_at_ms = now_ms + self.resend_ms
            self.in_flight[self.sequence] = (flags, data)
            self.send(flags | ACK, self.sequence, data)
            self.sequence = (self.sequence + len(data) + bool(flags)) & MASK

    def receive(self, packet: Packet, now_ms: int) -> bytes:
        """Handle a packet of the other end; return the new data in order."""
        self._receive_acknowledgement(packet.acknowledgement, now_ms)
        length = len(packet.payload) + bool(packet.flags & FIN)
        if not length:
            return b''
        if packet.sequence != self.received:
            # Out of order or a duplicate: acknowledge again.
            self.send(ACK, self.sequence, b'')
            return b''
        self.received = (self.received + length) & MASK
        self.unacknowledged += 1
        is_end = bool(packet.flags & FIN)
        self.has_received_fin = self.has_received_fin or is_end
        if self.unacknowledged >= 2 or is_end:
            self.unacknowledged = 0
            self.send(ACK, self.sequence, b'')
        return packet.payload

    def _receive_acknowledgement(self, number, now_ms):
        done = [one for one in self.in_flight if _precedes(one, number)]
        for one in done:
            del self.in_flight[one]
        if done:
            self.resends = 0
            self.resend_ms = FIRST_RESEND_MS
            self.resend_at_ms = now_ms + self.resend_ms
        self._send_more(now_ms)

    def tick(self, now_ms: int) -> None:
        """Resend what was not acknowledged in time."""
        if not self.in_flight or now_ms < self.resend_at_ms:
            return
        self.resends += 1
        self.resend_ms = min(2 * self.resend_ms, MAX_RESEND_MS)
        self.resend_at_ms = now_ms + self.resend_ms
        for sequence, (flags, data) in list(self.in_flight.items()):
            self.send(flags | ACK, sequence, data)
