"""Packets between callers and balancers, and their CBOR form.

A packet is a CBOR map (RFC 8949) with small integer keys.  Key 0 holds the
protocol version and key 1 the kind.  Unknown keys are ignored, so that
balancers of adjacent versions interoperate.
"""

from enum import IntEnum

import attrs
from attrs import field
from attrs import frozen
import cbor2

from liftmount._internal.exceptions import PacketError

PROTOCOL_VERSION = 1
MAX_DATAGRAM_BYTES = 65_507
PIECE_BYTES = 1_100
MAX_PIECES = 1_024
MAX_TOKEN_BYTES = 512
MAX_FLOW_ID_BYTES = 16
MAX_INTEGER = 2**53
VERSION_KEY = 0
KIND_KEY = 1


class Kind(IntEnum):
    """Packet kinds, as numbered on the wire."""

    OPEN = 1
    OPENED = 2
    REQUEST = 3
    ANSWER = 4
    CANCEL = 5
    KEEPALIVE = 6
    PUSH = 7
    CLOSE = 8
    REFUSED = 9
    REBIND = 10


def wire(key, kind, default=attrs.NOTHING, limit=None):
    """Declare a field with its integer key, type and size limit."""
    return field(
        default=default,
        metadata={'key': key, 'kind': kind, 'limit': limit},
    )


@frozen
class Open:
    """Request a flow to the service at the packet's address.

    ``flow_id`` is chosen by the caller.  ``token`` is that of the flow to
    replace, if any, so that a stream keeps its target.  For a stream,
    ``name`` identifies it and ``sequence`` is the last event received.
    """

    KIND = Kind.OPEN
    flow_id: bytes = wire(2, bytes, limit=MAX_FLOW_ID_BYTES)
    token: bytes = wire(3, bytes, b'', limit=MAX_TOKEN_BYTES)
    name: bytes = wire(4, bytes, b'', limit=256)
    sequence: int = wire(5, int, 0)


@frozen
class Opened:
    """The flow is open; every later packet carries ``token``.

    ``grant`` identifies the grant: a retried ``Open`` may open a flow
    twice, and the caller keeps only one of them.
    """

    KIND = Kind.OPENED
    flow_id: bytes = wire(2, bytes, limit=MAX_FLOW_ID_BYTES)
    token: bytes = wire(3, bytes, limit=MAX_TOKEN_BYTES)
    grant: int = wire(13, int, 0)


@frozen
class Request:
    """One piece of a request.  ``number`` increases within a token.

    The flow of a packet without a token is looked up by its caller and
    ``flow_id``.
    """

    KIND = Kind.REQUEST
    number: int = wire(5, int)
    token: bytes = wire(3, bytes, b'', limit=MAX_TOKEN_BYTES)
    flow_id: bytes = wire(2, bytes, b'', limit=MAX_FLOW_ID_BYTES)
    piece: int = wire(6, int, 0)
    pieces: int = wire(7, int, 1)
    deadline_ms: int = wire(8, int, 0)
    body: bytes = wire(9, bytes, b'', limit=MAX_DATAGRAM_BYTES)


@frozen
class Answer:
    """One piece of the final answer to request ``number``."""

    KIND = Kind.ANSWER
    flow_id: bytes = wire(2, bytes, limit=MAX_FLOW_ID_BYTES)
    number: int = wire(5, int)
    piece: int = wire(6, int, 0)
    pieces: int = wire(7, int, 1)
    body: bytes = wire(9, bytes, b'', limit=MAX_DATAGRAM_BYTES)
    verdict: str = wire(10, str, 'ran', limit=32)
    reason: str = wire(11, str, '', limit=64)
    retry_after_ms: int = wire(12, int, 0)


@frozen
class Cancel:
    """The caller no longer waits for request ``number``."""

    KIND = Kind.CANCEL
    number: int = wire(5, int)
    token: bytes = wire(3, bytes, b'', limit=MAX_TOKEN_BYTES)
    flow_id: bytes = wire(2, bytes, b'', limit=MAX_FLOW_ID_BYTES)


@frozen
class Keepalive:
    """Keep a flow alive; ``sequence`` acknowledges pushes up to it."""

    KIND = Kind.KEEPALIVE
    flow_id: bytes = wire(2, bytes, limit=MAX_FLOW_ID_BYTES)
    token: bytes = wire(3, bytes, b'', limit=MAX_TOKEN_BYTES)
    name: bytes = wire(4, bytes, b'', limit=256)
    sequence: int = wire(5, int, 0)


@frozen
class Push:
    """One numbered event of a stream."""

    KIND = Kind.PUSH
    flow_id: bytes = wire(2, bytes, limit=MAX_FLOW_ID_BYTES)
    sequence: int = wire(5, int)
    body: bytes = wire(9, bytes, b'', limit=MAX_DATAGRAM_BYTES)


@frozen
class Close:
    """The caller no longer uses this token."""

    KIND = Kind.CLOSE
    token: bytes = wire(3, bytes, b'', limit=MAX_TOKEN_BYTES)
    flow_id: bytes = wire(2, bytes, b'', limit=MAX_FLOW_ID_BYTES)


@frozen
class Refused:
    """A flow or packet was refused; a request may have run nonetheless."""

    KIND = Kind.REFUSED
    flow_id: bytes = wire(2, bytes, b'', limit=MAX_FLOW_ID_BYTES)
    number: int = wire(5, int, 0)
    reason: str = wire(11, str, '', limit=64)
    retry_after_ms: int = wire(12, int, 0)


@frozen
class Rebind:
    """Ask the caller to open a new flow; this one works until then."""

    KIND = Kind.REBIND
    flow_id: bytes = wire(2, bytes, limit=MAX_FLOW_ID_BYTES)
    reason: str = wire(11, str, '', limit=64)


PACKET_CLASSES = (
    Open,
    Opened,
    Request,
    Answer,
    Cancel,
    Keepalive,
    Push,
    Close,
    Refused,
    Rebind,
)


def _layout(packet_class):
    """Return (name, key, type, default, limit) for each wire field."""
    return tuple(
        (
            item.name,
            item.metadata['key'],
            item.metadata['kind'],
            item.default,
            item.metadata['limit'],
        )
        for item in attrs.fields(packet_class)
    )


_LAYOUTS = {int(one.KIND): (one, _layout(one)) for one in PACKET_CLASSES}
_ENCODE_LAYOUTS = {one: _layout(one) for one in PACKET_CLASSES}


def encode_packet(packet) -> bytes:
    """Return the CBOR form of a packet.

    Fields with their default value are omitted.
    """
    fields = {VERSION_KEY: PROTOCOL_VERSION, KIND_KEY: int(packet.KIND)}
    for name, key, _kind, default, _limit in _ENCODE_LAYOUTS[type(packet)]:
        value = getattr(packet, name)
        if value != default:
            fields[key] = value
    return cbor2.dumps(fields)


def decode_packet(datagram: bytes):
    """Decode one packet.

    Raises PacketError on anything that is not a valid packet of this
    protocol.
    """
    try:
        fields = cbor2.loads(datagram)
    except Exception as error:
        # cbor2 raises more than CBORDecodeError on hostile input:
        # RecursionError, OverflowError, UnicodeDecodeError.
        raise PacketError(f'not CBOR: {error}') from error
    if type(fields) is not dict:
        raise PacketError('not a CBOR map')
    if fields.get(VERSION_KEY) != PROTOCOL_VERSION:
        raise PacketError('unsupported protocol version')
    kind = fields.get(KIND_KEY)
    if type(kind) is not int or kind not in _LAYOUTS:
        raise PacketError('unknown packet kind')
    packet_class, layout = _LAYOUTS[kind]
    values = []
    for name, key, kind, default, limit in layout:
        value = fields.get(key, default)
        if type(value) is not kind:
            raise PacketError(f'{name} is missing or of a wrong type')
        if limit is not None:
            if len(value) > limit:
                raise PacketError(f'{name} is too long')
        elif kind is int and not 0 <= value <= MAX_INTEGER:
            raise PacketError(f'{name} is out of range')
        values.append(value)
    packet = packet_class(*values)
    if packet_class is Request or packet_class is Answer:
        _check_pieces(packet)
    return packet


def _check_pieces(packet):
    if not 1 <= packet.pieces <= MAX_PIECES:
        raise PacketError('pieces is out of range')
    if packet.piece >= packet.pieces:
        raise PacketError('piece is out of range')
    if packet.number == 0:
        raise PacketError('number starts at 1')


def split_body(body: bytes) -> list[bytes]:
    """Split a body into pieces that fit a datagram; at least one."""
    if not body:
        return [b'']
    starts = range(0, len(body), PIECE_BYTES)
    return [body[start : start + PIECE_BYTES] for start in starts]


MAX_BODY_BYTES = PIECE_BYTES * MAX_PIECES
