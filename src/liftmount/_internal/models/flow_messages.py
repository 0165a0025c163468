"""Events and actions of the forwarding decisions."""

from enum import Enum

from attrs import define

from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message
from liftmount._internal.models.segments import Route
from liftmount._internal.models.segments import RouteTable
from liftmount._internal.models.segments import Segment
from liftmount._internal.models.segments import TargetEntry


class RefusalReason(Enum):
    """Why a segment was reset or dropped."""

    NO_ROUTE = 'no_route'
    NO_TARGET = 'no_target'
    ROUTE_DROPPED = 'route_dropped'
    TARGET_DEAD = 'target_dead'
    TARGET_GONE = 'target_gone'
    UNKNOWN_TAG = 'unknown_tag'
    HELD_TOO_LONG = 'held_too_long'


@message
class SegmentArrived(Message):
    """A client's segment arrived."""

    segment: Segment
    now_ms: int


@message
class TargetPut(Message):
    """A target was added or changed; ``is_missing`` if its entry vanished."""

    entry: TargetEntry
    now_ms: int
    is_missing: bool = False


@message
class RetiredTarget(Message):
    """A peer reports a target that is gone but may still hold flows."""

    entry: TargetEntry
    until_ms: int


@message
class DomainsEvacuated(Message):
    """The targets of exactly these failure domains get no new flows."""

    domains: frozenset[str]
    now_ms: int


@message
class TargetsSettled(Message):
    """A batch of changes of targets from the store has been applied.

    Pending segments are handled only now: after the first target of a
    batch all of them would be sent to that one.
    """

    now_ms: int


@message
class TargetRemoved(Message):
    """A target was removed; its flows may still be open."""

    name: str
    now_ms: int


@message
class TargetHealthChanged(Message):
    """A target became dead, suspected or alive again.

    A suspected target is only avoided; its flows are kept.
    """

    name: str
    is_dead: bool
    now_ms: int
    is_suspected: bool = False


@message
class TargetEjected(Message):
    """A target was ejected, since several balancers saw it stall."""

    name: str
    until_ms: int
    now_ms: int


@message
class RoutesChanged(Message):
    """The routes of a newer configuration version."""

    table: RouteTable
    now_ms: int


@message
class RoutesConfirmed(Message):
    """The store held no newer version than ``version`` at ``as_of_ms``."""

    version: int
    as_of_ms: int
    now_ms: int


@define(eq=False, repr=False)
class Forward(Message):
    """Forward a segment to a target, with the target's tag."""

    segment: Segment
    target: TargetEntry
    tag: int


@message
class Placed(Message):
    """An opening was placed; ``tries`` counts the targets tried so far."""

    segment: Segment
    route: Route
    target: TargetEntry
    tries: int
    load: float


@message
class Refuse(Message):
    """Send a reset with the number ``sequence`` to the client."""

    flow: bytes
    client: Endpoint
    address: Endpoint
    sequence: int
    reason: RefusalReason
    target: str = ''


@message
class Drop(Message):
    """A segment was dropped without an answer."""

    flow: bytes
    client: Endpoint
    address: Endpoint
    tag: int
    reason: RefusalReason


@message
class TargetsNeeded(Message):
    """A segment names a target that is not known here."""

    segment: Segment


@message
class FlowPin(Message):
    """A flow and its target, '' if the target is not known."""

    flow: bytes
    target: str


@message
class PinsReceived(Message):
    """Another member told the targets of flows, or that it knows none."""

    pins: tuple[FlowPin, ...]
    now_ms: int


@message
class PinsHandedOver(Message):
    """This balancer is about to stop: tell others the pins kept here."""


@message
class SharePins(Message):
    """Tell other members the targets of flows.

    With ``is_last`` all are told, whatever the budget.
    """

    pins: tuple[FlowPin, ...]
    is_last: bool = False


@message
class PinNeeded(Message):
    """A segment waits until other members say which target holds its flow."""

    flow: bytes


@message
class RoutesNeeded(Message):
    """A segment waits, as its route may be newer than those held here."""

    flow: bytes
    client: Endpoint
    address: Endpoint


@message
class Adopted(Message):
    """A flow that another balancer had forwarded goes to ``target`` here.

    ``source`` tells how the target was found. It has no route if the routes
    held here are old.
    """

    flow: bytes
    client: Endpoint
    address: Endpoint
    target: str
    tag: int
    source: str
    has_route: bool


@message
class TagDiffers(Message):
    """The client of a flow at ``target`` sent the tag of ``named``.

    The opening of the flow was sent to the targets ``tried``, as far as it
    was sent here; ``named`` is empty if the tag is of no known target.
    """

    flow: bytes
    client: Endpoint
    address: Endpoint
    target: str
    named: str
    tried: tuple[str, ...]


@message
class TargetRestarted(Message):
    """A target restarted under the same name.

    It had ``flows`` here, and the last segments of ``requests`` in progress
    are sent to it again.
    """

    target: TargetEntry
    flows: int
    requests: int


@message
class Answered(Message):
    """A flow opened at a target after ``latency_ms`` and ``tries``."""

    target: str
    route: Route
    latency_ms: int
    tries: int


@message
class Stalled(Message):
    """A request to a target has had no answer for ``waited_ms``."""

    target: str
    service: str
    flow: bytes
    waited_ms: int
    now_ms: int
