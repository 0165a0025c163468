"""Messages of the membership protocol between balancers: wire form.

A message is a CBOR list of its fields in the order of MembershipMessage.
Balancers of an earlier version send and read the first seven only.
"""

from attrs import Factory
from attrs import frozen

from liftmount._internal.exceptions import PacketError
from liftmount._internal.models.envelopes import encode_membership

PING = 1
ACK = 2
PING_REQUEST = 3
COMPARE = 4
RECORDS = 5
RECORDS_REPLY = 6
# ``extra`` of a ping whose sender has no members yet.
JOIN = 'join'
# ``extra`` of an ACK whose sender does not hold the receiver's record.
RECORD_WANTED = 'record'

_FIELD_TYPES = (int, int, str, int, bytes, list, str, bytes, list)
_REQUIRED_FIELDS = 7
_RANGE_TYPES = (int, int, bytes)


@frozen
class MembershipMessage:
    """A message of the failure detector, of gossip or of a comparison.

    ``digest`` is that of the sender's configuration, ``updates`` holds
    records as ``models.members`` encodes them, ``extra`` depends on the kind.
    ``list_digest`` is that of the sender's list of members, empty if it does
    not state one.  ``list_range`` is ``[first, count, digests]`` for COMPARE,
    RECORDS and RECORDS_REPLY, else empty.
    """

    kind: int
    sequence: int
    sender: str
    incarnation: int
    digest: bytes
    updates: list
    extra: str = ''
    list_digest: bytes = b''
    list_range: list = Factory(list)

    def encode(self) -> bytes:
        """Return the datagram."""
        return encode_membership(
            [
                self.kind,
                self.sequence,
                self.sender,
                self.incarnation,
                self.digest,
                self.updates,
                self.extra,
                self.list_digest,
                self.list_range,
            ]
        )


def parse_message(fields) -> MembershipMessage:
    """Check a decoded list of fields; raises PacketError."""
    if type(fields) is not list or len(fields) < _REQUIRED_FIELDS:
        raise PacketError('membership message is too short')
    fields = fields[: len(_FIELD_TYPES)]
    for value, kind in zip(fields, _FIELD_TYPES, strict=False):
        if type(value) is not kind:
            raise PacketError('membership message has a wrong type')
    message = MembershipMessage(*fields)
    if message.kind in (COMPARE, RECORDS, RECORDS_REPLY):
        _check_range(message.list_range)
    return message


def _check_range(fields):
    if len(fields) != len(_RANGE_TYPES):
        raise PacketError('range of members has a wrong length')
    for value, kind in zip(fields, _RANGE_TYPES, strict=True):
        if type(value) is not kind:
            raise PacketError('range of members has a wrong type')
