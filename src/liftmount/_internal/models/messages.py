"""Messages between the services of one daemon."""

from attrs import Factory
from attrs import frozen

from liftmount._internal.decisions.rollout import ConfigurationView
from liftmount._internal.models.envelopes import PeerEnvelope
from liftmount._internal.models.feeds import StoredObject
from liftmount._internal.models.members import Member


@frozen
class ForwardPacket:
    """Forward a caller's packet to another balancer."""

    peer: str
    envelope: PeerEnvelope


@frozen
class PacketForwarded:
    """Another balancer forwarded a caller's packet to this one."""

    envelope: PeerEnvelope


@frozen
class ObjectsReceived:
    """Objects were received from ``source``: the platform or a peer."""

    objects: list[StoredObject]
    source: str


@frozen
class ConfigurationChanged:
    """A new configuration is in force on this balancer.

    ``changed`` holds the objects that differ from the one before.
    """

    view: ConfigurationView
    revision: int
    digest: bytes
    changed: list[StoredObject] = Factory(list)


@frozen
class MembersChanged:
    """The membership view of this balancer has changed."""

    own: Member
    members: dict[str, Member]
    changed: Member | None = None


@frozen
class PullObjects:
    """Request the objects that this balancer lacks from a peer."""

    member: Member


@frozen
class PlatformReachabilityChanged:
    """The platform became reachable or unreachable."""

    is_reached: bool


@frozen
class AppliedDigestsChanged:
    """Digests of the configuration that each balancer of the domain holds."""

    digests: dict[str, bytes]


@frozen
class TargetConnected:
    """A connection to a target is open and its identity verified."""

    target: str
    incarnation: int


@frozen
class TargetDraining:
    """A target announced that it drains, or cancelled its drain."""

    target: str
    is_draining: bool


@frozen
class ShutdownStarted:
    """A graceful shutdown of this balancer has begun."""


@frozen
class ShutdownCancelled:
    """The operator cancelled the graceful shutdown."""


@frozen
class Inspect:
    """Request for this balancer's state; ``answer`` is a future."""

    subject: str
    argument: str
    answer: object
