"""Messages between balancers on the targets of single flows: wire forms.

All are CBOR and fit into a datagram: [mark, pins] with pins as [flow, target]
each, and [mark, sender, flow] to ask for one.
"""

import cbor2

from liftmount._internal.exceptions import PacketError
from liftmount._internal.models.flow_messages import FlowPin
from liftmount._internal.models.peer_messages import has_mark
from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message
from liftmount._internal.models.segments import is_text

PINS_MARK = 6
PIN_REQUEST_MARK = 7
# A flow's key holds the addresses and ports of both ends.
MAX_FLOW_BYTES = 64


@message
class PinRequest(Message):
    """``sender`` asks which target holds a flow."""

    sender: str
    flow: bytes


def is_pins(datagram: bytes) -> bool:
    """Return whether a datagram of a peer holds pins."""
    return has_mark(datagram, PINS_MARK)


def is_pin_request(datagram: bytes) -> bool:
    """Return whether a datagram of a peer asks for a pin."""
    return has_mark(datagram, PIN_REQUEST_MARK)


def encode_pins(pins) -> bytes:
    """Return the wire form of FlowPins."""
    return cbor2.dumps([PINS_MARK, [[one.flow, one.target] for one in pins]])


def decode_pins(datagram: bytes) -> tuple[FlowPin, ...]:
    """Decode FlowPins; raises PacketError."""
    try:
        _mark, pairs = cbor2.loads(datagram)
        return tuple(_read_pin(flow, target) for flow, target in pairs)
    except Exception as error:
        # cbor2 raises exceptions of many types on malformed input.
        raise PacketError(f'malformed pins: {error}') from error


def encode_pin_request(request: PinRequest) -> bytes:
    """Return the wire form of a request for a pin."""
    return cbor2.dumps([PIN_REQUEST_MARK, request.sender, request.flow])


def decode_pin_request(datagram: bytes) -> PinRequest:
    """Decode a request for a pin; raises PacketError."""
    try:
        _mark, sender, flow = cbor2.loads(datagram)
        if not is_text(sender):
            raise PacketError('expected the name of a member')
        return PinRequest(sender, _read_flow(flow))
    except Exception as error:
        # cbor2 raises exceptions of many types on malformed input.
        raise PacketError(f'malformed pin request: {error}') from error


def _read_pin(flow, target):
    if target != '' and not is_text(target):
        raise PacketError('expected the name of a target')
    return FlowPin(_read_flow(flow), target)


def _read_flow(value):
    if type(value) is not bytes or len(value) > MAX_FLOW_BYTES:
        raise PacketError(f'expected up to {MAX_FLOW_BYTES} bytes')
    return value
