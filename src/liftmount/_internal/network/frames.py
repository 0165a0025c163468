"""CBOR frames of typed messages over websockets.

A frame is the list ``[tag, field, ...]``.  Extra fields are ignored and
missing ones take their defaults, so adjacent versions interoperate.
"""

import attrs
import cbor2

from liftmount._internal.exceptions import PacketError


class FrameCodec:
    """Encodes and decodes attrs classes, given by tag."""

    def __init__(self, **classes):
        self._classes = classes
        self._tags = {one: tag for tag, one in classes.items()}
        self._fields = {
            one: tuple(attrs.fields(one)) for one in classes.values()
        }

    def encode(self, message) -> bytes:
        """Return the frame of a message."""
        kind = type(message)
        names = [item.name for item in self._fields[kind]]
        values = [getattr(message, name) for name in names]
        return cbor2.dumps([self._tags[kind], *values])

    def decode(self, frame: bytes):
        """Decode a frame; raises PacketError if it is not a known one."""
        try:
            tag, *values = cbor2.loads(frame)
            kind = self._classes[tag]
        except Exception as error:
            raise PacketError(f'unknown frame: {error!r}') from error
        fields = self._fields[kind]
        values = values[: len(fields)]
        for item, value in zip(fields, values, strict=False):
            expected = item.type
            if isinstance(expected, type) and type(value) is not expected:
                raise PacketError(f'{tag}.{item.name} has a wrong type')
        try:
            return kind(*values)
        except TypeError as error:
            raise PacketError(f'{tag} lacks fields') from error
