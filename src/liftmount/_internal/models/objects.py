"""Objects that liftmount keeps in the platform's store."""

from enum import Enum

from attrs import Factory
from attrs import frozen


class ObjectKind(Enum):
    """Kinds of objects; the key of an object is ``kind/name``."""

    TEMPLATE = 'template'
    TEAM = 'team'
    FLOW_KEY = 'flow-key'
    CLAIM = 'claim'
    DRAIN = 'drain'
    EVACUATION = 'evacuation'
    INSTANCE = 'instance'
    LEASE = 'lease'
    STATUS = 'status'
    HISTORY = 'history'


# Kinds that every balancer holds, in the order of messages between them.
DISSEMINATED_KINDS = (
    ObjectKind.TEMPLATE,
    ObjectKind.TEAM,
    ObjectKind.FLOW_KEY,
    ObjectKind.CLAIM,
    ObjectKind.DRAIN,
    ObjectKind.EVACUATION,
)
# Role and state in the platform's instance list.
BALANCER_ROLE = 'balancer'
LIVE_STATE = 'live'
FLOW_KEY_OBJECT = 'flow-key/current'


@frozen
class Written:
    """A template or team in the store, with its writer.

    By ``nonce``, a writer that got no answer recognizes its own write.
    """

    document: dict
    writer: str
    nonce: str
    written_wall_ms: int


class ClaimState(Enum):
    """Whether an address is assigned, or being released for another."""

    HELD = 'held'
    RELEASING = 'releasing'


@frozen
class Claim:
    """The service that an address is assigned to.

    ``generation`` increases each time the address is reassigned.
    """

    team: str
    service: str
    generation: int
    state: str = ClaimState.HELD.value


@frozen
class FlowKey:
    """A key that seals and opens flow tokens."""

    id: int
    secret_hex: str
    created_wall_ms: int


@frozen
class FlowKeys:
    """All keys that open tokens; ``current`` is the id of the sealing key."""

    current: int
    keys: list[FlowKey] = Factory(list)


@frozen
class Drain:
    """An operator's request that a target gets no new work."""

    target: str
    asked_wall_ms: int = 0


@frozen
class Evacuation:
    """An operator's request that a domain's targets get no new work.

    The name of the object is that of the failure domain.
    """

    writer: str = ''
    asked_wall_ms: int = 0


@frozen
class InstanceEntry:
    """One entry of the platform's instance list."""

    name: str
    failure_domain: str
    role: str
    state: str


@frozen
class DomainStatus:
    """The status that the lease holder of a failure domain reports.

    ``revision`` is the highest version of configuration that the holder
    has read.  ``applied`` names the live balancers that have applied it,
    and ``missing`` the others.  ``problems`` maps the keys of invalid
    objects to error messages.
    """

    failure_domain: str
    holder: str
    epoch: int
    revision: int
    applied: list[str] = Factory(list)
    missing: list[str] = Factory(list)
    problems: dict[str, str] = Factory(dict)
    draining: list[str] = Factory(list)
