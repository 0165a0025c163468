"""Control frames between balancers, and with the command-line tool."""

from attrs import Factory
from attrs import frozen

from liftmount._internal.models.feeds import StoredObject
from liftmount._internal.network.frames import FrameCodec


@frozen
class SyncRequest:
    """Request the objects newer than ``versions``, once."""

    versions: dict


@frozen
class Subscribe:
    """Request newer objects and all subsequent changes."""

    name: str
    versions: dict


@frozen
class Objects:
    """Objects as lists ``[key, version, value]``, and members."""

    objects: list
    members: list = Factory(list)


@frozen
class Applied:
    """Configuration digests of a relay subtree, by balancer name."""

    digests: dict


@frozen
class InspectRequest:
    """Request of the tool for the state of ``subject``."""

    subject: str
    argument: str = ''


@frozen
class InspectAnswer:
    """The answer to an InspectRequest, as a plain document."""

    document: dict


CODEC = FrameCodec(
    sync=SyncRequest,
    subscribe=Subscribe,
    objects=Objects,
    applied=Applied,
    inspect=InspectRequest,
    inspected=InspectAnswer,
)


def pack_objects(objects) -> list:
    """Return the wire form of stored objects."""
    return [[one.key, one.version, one.value] for one in objects]


def unpack_objects(rows) -> list[StoredObject]:
    """Return the stored objects of their wire form."""
    return [StoredObject(str(k), int(v), value) for k, v, value in rows]
