"""Events and actions of the decisions on segments of flows."""

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
    """Why a segment was answered by a reset, or dropped."""

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
    """A target is there; ``is_missing`` if its entry vanished."""

    entry: TargetEntry
    now_ms: int
    is_missing: bool = False


@message
class RetiredTarget(Message):
    """A peer tells of a target that is gone, but may still hold flows."""

    entry: TargetEntry
    until_ms: int


@message
class DomainsEvacuated(Message):
    """The targets of these failure domains, and no others, get no flows."""

    domains: frozenset[str]
    now_ms: int


@message
class TargetsSettled(Message):
    """All that the store told at once about targets is taken over.

    What waited for targets is decided on now; after the first of many it
    would all go to that one.
    """

    now_ms: int


@message
class TargetRemoved(Message):
    """A target has ended; its flows may be under way still."""

    name: str
    now_ms: int


@message
class TargetHealthChanged(Message):
    """A target answers no more, or does again.

    One that ``is_suspected`` is only avoided.
    """

    name: str
    is_dead: bool
    now_ms: int
    is_suspected: bool = False


@message
class TargetEjected(Message):
    """Several balancers saw a target give no answer."""

    name: str
    until_ms: int
    now_ms: int


@message
class RoutesChanged(Message):
    """A newer configuration is in force."""

    table: RouteTable
    now_ms: int


@define(eq=False, repr=False)
class Forward(Message):
    """Send a segment on to a target, with a tag that names it."""

    segment: Segment
    target: TargetEntry
    tag: int


@message
class Placed(Message):
    """A new flow was placed; ``tries`` counts the targets so far."""

    segment: Segment
    route: Route
    target: TargetEntry
    tries: int
    load: float


@message
class Refuse(Message):
    """Answer the client with a reset: ``sequence`` is its number."""

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
class TargetRestarted(Message):
    """A target started anew under its name.

    It had ``flows`` here, and is sent again the ``requests`` under way.
    """

    target: TargetEntry
    flows: int
    requests: int


@message
class Answered(Message):
    """A flow opened after ``latency_ms`` at a target."""

    target: str
    route: Route
    latency_ms: int
    tries: int
