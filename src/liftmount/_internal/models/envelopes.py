"""Envelopes that carry packets through the fabric and between balancers."""

from attrs import frozen
import cbor2

from liftmount._internal.exceptions import PacketError

_FABRIC_FIELDS = 5
_PEER_FIELDS = 8
PEER_PACKET = 1
PEER_MEMBERSHIP = 2
# CBOR of a list of two items, of which the first is PEER_MEMBERSHIP.
_MEMBERSHIP_HEAD = bytes((0x82, PEER_MEMBERSHIP))


@frozen
class FabricEnvelope:
    """A caller's datagram with its source and destination addresses."""

    caller_ip: str
    caller_port: int
    address_ip: str
    address_port: int
    datagram: bytes


@frozen
class PeerEnvelope:
    """A caller's datagram that the balancer ``sender`` forwards."""

    sender: str
    hops: int
    caller_ip: str
    caller_port: int
    address_ip: str
    address_port: int
    datagram: bytes


def encode_fabric(envelope: FabricEnvelope) -> bytes:
    """Return the CBOR form of a fabric envelope."""
    return cbor2.dumps(
        [
            envelope.caller_ip,
            envelope.caller_port,
            envelope.address_ip,
            envelope.address_port,
            envelope.datagram,
        ]
    )


def decode_fabric(datagram: bytes) -> FabricEnvelope:
    """Decode a fabric envelope; raises PacketError on anything else."""
    fields = _load_list(datagram)
    if len(fields) < _FABRIC_FIELDS:
        raise PacketError('fabric envelope is too short')
    return FabricEnvelope(*_check_types(fields[:_FABRIC_FIELDS]))


def encode_peer(envelope: PeerEnvelope) -> bytes:
    """Return the CBOR form of a peer envelope."""
    return cbor2.dumps(
        [
            PEER_PACKET,
            envelope.sender,
            envelope.hops,
            envelope.caller_ip,
            envelope.caller_port,
            envelope.address_ip,
            envelope.address_port,
            envelope.datagram,
        ]
    )


def encode_membership(message) -> bytes:
    """Return the CBOR form of a membership message (a list)."""
    return cbor2.dumps([PEER_MEMBERSHIP, message])


def is_membership(datagram: bytes) -> bool:
    """Return whether a datagram from a peer is a membership message."""
    return datagram[: len(_MEMBERSHIP_HEAD)] == _MEMBERSHIP_HEAD


def decode_peer(datagram: bytes):
    """Decode a datagram from a peer.

    Returns a PeerEnvelope, or the list of a membership message as its own
    codec expects it.  Raises PacketError on anything else.
    """
    fields = _load_list(datagram)
    if len(fields) == 2 and fields[0] == PEER_MEMBERSHIP:
        return fields[1]
    if len(fields) < _PEER_FIELDS or fields[0] != PEER_PACKET:
        raise PacketError('unknown peer message')
    _tag, sender, hops, *common = fields[:_PEER_FIELDS]
    if type(sender) is not str or type(hops) is not int:
        raise PacketError('peer envelope has a wrong type')
    return PeerEnvelope(sender, hops, *_check_types(common))


def _load_list(datagram):
    try:
        fields = cbor2.loads(datagram)
    except Exception as error:
        raise PacketError(f'not CBOR: {error}') from error
    if type(fields) is not list or not fields:
        raise PacketError('not a CBOR list')
    return fields


_COMMON_TYPES = (str, int, str, int, bytes)


def _check_types(fields):
    for value, kind in zip(fields, _COMMON_TYPES, strict=True):
        if type(value) is not kind:
            raise PacketError('envelope has a wrong type')
    return fields
