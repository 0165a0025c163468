"""Which target holds a flow that is in no flow table here.

The tag on a segment names a target, but an opening may have been sent to
several: the answer of one that lost the race may come late, and the client
then sends its tag until the flow's own target answers again. So targets get
one tag with openings and another, the confirmed tag, with segments of flows
that are known to be theirs. A confirmed tag is trusted. For the others, the
members of the domain that keep the pins of such flows are asked first.
"""

from enum import Enum

from attrs import frozen

from liftmount._internal.decisions.flow_table import Flow
from liftmount._internal.decisions.flow_table import ForwardingState
from liftmount._internal.models.flow_messages import FlowPin
from liftmount._internal.models.flow_messages import PinNeeded
from liftmount._internal.models.flow_messages import SharePins
from liftmount._internal.models.flow_messages import TagDiffers
from liftmount._internal.models.segments import Route
from liftmount._internal.models.segments import Segment
from liftmount._internal.models.segments import TargetEntry


class Source(Enum):
    """How the target of a flow was found."""

    CONFIRMED_TAG = 'confirmed_tag'
    PIN = 'pin'
    # The client got an answer to a request that was forwarded there.
    PROGRESS = 'progress'
    # The tag of an opening, with nobody to ask or nobody who knows better.
    OPENING_TAG = 'opening_tag'
    # The target of a tag or pin is not known here.
    UNKNOWN = 'unknown'
    # Other members are being asked.
    ASKING = 'asking'


@frozen
class Resolution:
    """The target of a flow, if ``source`` gives one, and what to ask."""

    source: Source
    entry: TargetEntry | None = None
    actions: tuple = ()

    @property
    def is_proven(self) -> bool:
        """Return whether the target is known to hold the flow."""
        return self.source in (Source.CONFIRMED_TAG, Source.PIN)


def find_by_tag(
    state: ForwardingState, segment: Segment, route: Route | None
) -> TargetEntry | None:
    """Return the target that a segment's tag names, if it is known."""
    shares = route.shares if route is not None else ()
    services = [share.service for share in shares]
    return state.tags.find(segment.tag, services)


def resolve(
    state: ForwardingState, segment: Segment, route: Route | None, now_ms: int
) -> Resolution:
    """Find the target of a flow that was opened at another balancer."""
    entry = find_by_tag(state, segment, route)
    if entry is None:
        return Resolution(Source.UNKNOWN)
    if state.tags.is_confirmed(segment.tag, entry.name):
        return Resolution(Source.CONFIRMED_TAG, entry)
    if state.pins is None:
        return Resolution(Source.OPENING_TAG, entry)
    pinned = state.pins.find(segment.flow, now_ms)
    if pinned:
        entry = state.tags.entries.get(pinned)
        source = Source.UNKNOWN if entry is None else Source.PIN
        return Resolution(source, entry)
    if state.pins.start_asking(segment.flow, now_ms):
        return Resolution(Source.ASKING, None, (PinNeeded(segment.flow),))
    if state.pins.is_asking(segment.flow):
        return Resolution(Source.ASKING)
    return Resolution(Source.OPENING_TAG, entry)


def note_contested(state: ForwardingState, flow: Flow) -> list:
    """Share the pin of a flow whose client may send another tag."""
    if flow.is_contested:
        return []
    flow.is_contested = True
    if state.pins is None:
        # Told at a planned stop, when the members are known.
        return []
    return [SharePins((FlowPin(flow.key, flow.target),))]


def note_other_tag(
    state: ForwardingState, segment: Segment, flow: Flow
) -> list:
    """Report once that a client's tag names another target than its flow's."""
    named = find_by_tag(state, segment, flow.route)
    is_own = named is not None and named.name == flow.target
    if flow.has_other_tag or is_own or not segment.tag:
        return []
    flow.has_other_tag = True
    differs = TagDiffers(
        flow.key,
        flow.client,
        flow.address,
        flow.target,
        named.name if named is not None else '',
        flow.tried,
    )
    return [differs, *note_contested(state, flow)]
