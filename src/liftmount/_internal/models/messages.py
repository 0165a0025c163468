"""Messages between the services of one daemon."""

from attrs import Factory
from attrs import frozen

from liftmount._internal.decisions.rollout import ConfigurationView
from liftmount._internal.models.envelopes import PeerEnvelope
from liftmount._internal.models.feeds import StoredObject
from liftmount._internal.models.members import Member


@frozen
class ForwardPacket:
    """Send a caller's packet to another balancer."""

    peer: str
    envelope: PeerEnvelope


@frozen
class PacketForwarded:
    """Another balancer passed a caller's packet on."""

    envelope: PeerEnvelope


@frozen
class ObjectsReceived:
    """Objects came from the platform or from a peer."""

    objects: list[StoredObject]
    source: str


@frozen
class ConfigurationChanged:
    """Another configuration is in force on this balancer."""

    view: ConfigurationView
    revision: int
    digest: bytes
    changed: list[StoredObject] = Factory(list)


@frozen
class MembersChanged:
    """The group of balancers has changed, as far as this one knows."""

    own: Member
    members: dict[str, Member]
    changed: Member | None = None


@frozen
class PullObjects:
    """Ask a peer for the objects that this balancer lacks."""

    member: Member


@frozen
class PlatformReachabilityChanged:
    """Whether the platform could be reached has changed."""

    is_reached: bool


@frozen
class AppliedDigestsChanged:
    """Which balancers of the failure domain hold which configuration."""

    digests: dict[str, bytes]


@frozen
class TargetConnected:
    """A connection to a target is open and its identity was checked."""

    target: str
    incarnation: int


@frozen
class TargetDraining:
    """A target says itself that it leaves, or that it stays after all."""

    target: str
    is_draining: bool


@frozen
class ShutdownStarted:
    """A planned stop of this balancer has begun."""


@frozen
class ShutdownCancelled:
    """The operator wants this balancer back."""


@frozen
class Inspect:
    """The command-line tool asks what this balancer knows."""

    subject: str
    argument: str
    answer: object
