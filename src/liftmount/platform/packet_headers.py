"""The codec for packets: reads headers and writes them.

A header has 32 bytes.  All fields are little-endian, addresses included.
The checksum ``sum`` covers all but ``echo``, which carries the balancer's
tag, and two bits.  A packet can thus be forwarded with another tag and the
rest unchanged, after eight bytes that hold the target's number.
"""

from functools import lru_cache
import struct

from liftmount._internal.exceptions import PacketError
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.flow_messages import Forward
from liftmount._internal.models.flow_messages import Refuse
from liftmount._internal.models.segments import Segment

# seq, ack, len, dst, dport, src, sport, echo, sum, flags, pad
HEADER = struct.Struct('<IIHIHIHIIBB')
TAG = struct.Struct('<I')
TAG_OFFSET = 22
TAG_END = TAG_OFFSET + TAG.size
# The fields that identify a flow: dst, dport, src, sport.
FLOW_SLICE = slice(10, 22)
NUMBER_BYTES = 8
SYN = 2
FIN = 16
RST = 32
# Decoded addresses that are cached; each flow has two.
ENDPOINT_CACHE_SIZE = 65_536


@lru_cache(maxsize=ENDPOINT_CACHE_SIZE)
def _endpoint(ip_number, port):
    octets = ip_number.to_bytes(4, 'big')
    return Endpoint('.'.join(map(str, octets)), port)


def _ip_number(ip):
    return int.from_bytes(bytes(map(int, ip.split('.'))), 'big')


def read(datagram: bytes) -> Segment:
    """Read a client's packet; raises PacketError if it is too short."""
    if len(datagram) < HEADER.size:
        raise PacketError(
            f'packet of {len(datagram)} bytes is shorter than its header'
        )
    (
        sequence,
        acknowledgement,
        length,
        address_ip,
        address_port,
        client_ip,
        client_port,
        tag,
        _sum,
        flags,
        _pad,
    ) = HEADER.unpack_from(datagram)
    return Segment(
        flow=datagram[FLOW_SLICE],
        client=_endpoint(client_ip, client_port),
        address=_endpoint(address_ip, address_port),
        opens=bool(flags & SYN),
        closes=bool(flags & FIN),
        resets=bool(flags & RST),
        sequence=sequence,
        acknowledgement=acknowledgement,
        length_bytes=length,
        tag=tag,
        datagram=datagram,
    )


def encode_forward(action: Forward) -> bytes:
    """Return the datagram to send to a target.

    The target's number precedes the packet, so that another target that has
    reused the address does not accept it.
    """
    datagram = action.segment.datagram
    return b''.join(
        (
            action.target.number.to_bytes(NUMBER_BYTES, 'big'),
            datagram[:TAG_OFFSET],
            TAG.pack(action.tag),
            datagram[TAG_END:],
        )
    )


def encode_reset(action: Refuse) -> bytes:
    """Return a packet that resets a flow, sent from the route's address."""
    return HEADER.pack(
        action.sequence,
        0,
        0,
        _ip_number(action.client.ip),
        action.client.port,
        _ip_number(action.address.ip),
        action.address.port,
        0,
        0,
        RST,
        0,
    )
