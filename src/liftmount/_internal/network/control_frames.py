"""Frames of control traffic between balancers, and with the tool."""

from attrs import Factory
from attrs import frozen

from liftmount._internal.models.feeds import StoredObject
from liftmount._internal.network.frames import FrameCodec


@frozen
class SyncRequest:
    """Ask for the objects newer than ``versions``, once."""

    versions: dict


@frozen
class Subscribe:
    """Ask for newer objects, and for all changes from now on."""

    name: str
    versions: dict


@frozen
class Objects:
    """Objects as lists ``[key, version, value]``, and members."""

    objects: list
    members: list = Factory(list)


@frozen
class Applied:
    """Digests of the configuration held, by balancer, of a subtree."""

    digests: dict


@frozen
class InspectRequest:
    """The tool asks about ``subject``."""

    subject: str
    argument: str = ''


@frozen
class InspectAnswer:
    """The answer to the tool, as a plain document."""

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
    """Read the wire form of stored objects."""
    return [StoredObject(str(k), int(v), value) for k, v, value in rows]
