"""Segments of flows, and the routes and targets for them."""

from enum import Enum

from attrs import define
from attrs import Factory
from attrs import frozen

from liftmount._internal.models.addresses import Endpoint

# Limits of what the store and peers may tell. Whatever is within them can be
# encoded, logged and sent on; ten entries fit into a datagram.
MAX_TEXT_BYTES = 1_024
MAX_INTEGER = 2**63 - 1
MAX_TARGET_NUMBER = 2**64 - 1
MAX_SLOTS = 2**20
# The longest duration that an entry may state: a week.
MAX_DURATION_MS = 7 * 24 * 3_600_000


def is_text(value: object) -> bool:
    """Return whether a value is a text that is not empty and has a UTF-8 form.

    JSON can spell unpaired surrogates, which have none.
    """
    if type(value) is not str or not 0 < len(value) <= MAX_TEXT_BYTES:
        return False
    try:
        return len(value.encode()) <= MAX_TEXT_BYTES
    except UnicodeEncodeError:
        return False


def is_integer(value: object, low: int = 0, high: int = MAX_INTEGER) -> bool:
    """Return whether a value is an integer in a range."""
    return type(value) is int and low <= value <= high


@define
class Segment:
    """One packet of a client, described by its header.

    ``flow`` is an opaque key of both endpoints. ``sequence`` and
    ``acknowledgement`` are those of the sender, modulo 2**32; that of an
    opening counts its earlier copies. ``tag`` is the
    last tag that the client received, 0 if none. ``datagram`` is the whole
    packet, unchanged.
    """

    flow: bytes
    client: Endpoint
    address: Endpoint
    opens: bool
    closes: bool
    resets: bool
    sequence: int
    acknowledgement: int
    length_bytes: int
    tag: int
    datagram: bytes


class RouteKind(Enum):
    """Semantics of a route's requests, and the direction of bulk data.

    Uploads run at most once.
    """

    REPEATABLE = 'repeatable'
    AT_MOST_ONCE = 'at_most_once'
    DOWNLOAD = 'download'
    UPLOAD = 'upload'


@frozen
class ServiceShare:
    """A service of a route, and its weight for new flows."""

    service: str
    weight: int


@frozen
class WarmUp:
    """Slow start of a service's targets.

    A target gets at most ``per_s`` requests per second for ``lasts_ms`` after
    its start.
    """

    per_s: float
    lasts_ms: int


@frozen
class Route:
    """The services that new flows to one address are distributed over.

    ``priority`` 0 is the most urgent; ``objective_ms`` is the latency
    objective. ``regions`` limits the targets to these regions; empty for
    any.
    """

    name: str
    address: Endpoint
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    priority: int
    objective_ms: int
    regions: frozenset[str] = frozenset()


@frozen
class RouteTable:
    """The routes of one configuration version, by address.

    A flow that was idle for ``idle_limit_ms`` may be forgotten.
    ``health_paths`` maps services to the path of their health check, and
    ``warm_ups`` maps the services with a slow start rate to it.
    """

    version: int
    routes: dict[Endpoint, Route]
    health_paths: dict[str, str]
    idle_limit_ms: int
    warm_ups: dict[str, WarmUp] = Factory(dict)


@frozen
class TargetEntry:
    """A target as it describes itself in the platform's store.

    ``number`` identifies it on the wire. ``slots`` is the number of requests
    that it processes at once. ``warm_up_ms`` is the remaining warm-up time
    after its start, and ``started_wall_ms`` the time of its start by its own
    clock, 0 if not stated. A target that restarts under the same name has
    lost its flows.
    """

    name: str
    number: int
    service: str
    endpoint: Endpoint
    failure_domain: str
    slots: int
    draining: bool = False
    warm_up_ms: int = 0
    started_wall_ms: int = 0

    def is_other_start(self, other) -> bool:
        """Return whether a target restarted between two of its entries."""
        starts = {self.started_wall_ms, other.started_wall_ms}
        return len(starts) == 2 and 0 not in starts
