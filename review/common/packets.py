"""Packets of the platform: a head of 32 bytes, then the data."""

import struct
from zlib import crc32

HEAD = struct.Struct('<IIHIHIHIIBB')
SYN, FIN, RST, ACK = 2, 16, 32, 128
MASK = 2**32 - 1
NUMBER_BYTES = 8
KEY = b'review'


def ip_number(ip):
    """Return an IP address as a number."""
    return int.from_bytes(bytes(map(int, ip.split('.'))), 'big')


def ip_text(number):
    """Return an IP address as text."""
    return '.'.join(map(str, number.to_bytes(4, 'big')))


class Packet:
    """A packet; ``src`` and ``dst`` are (IP, port)."""

    def __init__(self, seq, ack, dst, src, echo, flags, data=b'', total=0):
        self.seq = seq & MASK
        self.ack = ack & MASK
        self.dst = dst
        self.src = src
        self.echo = echo
        self.flags = flags
        self.data = data
        self.total = total

    def _pack(self, echo, total):
        return (
            HEAD.pack(
                self.seq,
                self.ack,
                len(self.data),
                ip_number(self.dst[0]),
                self.dst[1],
                ip_number(self.src[0]),
                self.src[1],
                echo,
                total,
                self.flags,
                0,
            )
            + self.data
        )

    def keyed_sum(self):
        """Return the keyed sum of all but ``echo``."""
        return crc32(KEY + self._pack(0, 0)) or 1

    def encode(self):
        """Return the datagram with its sum."""
        return self._pack(self.echo, self.keyed_sum())

    def is_unchanged(self):
        """Tell whether the sum matches."""
        return self.total == self.keyed_sum()


def decode(datagram):
    """Return the packet in a datagram."""
    (seq, ack, length, dst, dport, src, sport, echo, total, flags, _pad) = (
        HEAD.unpack_from(datagram)
    )
    return Packet(
        seq,
        ack,
        (ip_text(dst), dport),
        (ip_text(src), sport),
        echo,
        flags,
        datagram[HEAD.size : HEAD.size + length],
        total,
    )
