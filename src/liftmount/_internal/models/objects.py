"""Objects of the platform's store as the system uses them."""

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


# Kinds that every balancer holds, in the order of the wire.
DISSEMINATED_KINDS = (
    ObjectKind.TEMPLATE,
    ObjectKind.TEAM,
    ObjectKind.FLOW_KEY,
    ObjectKind.CLAIM,
    ObjectKind.DRAIN,
    ObjectKind.EVACUATION,
)
# Words of the platform's instance list.
BALANCER_ROLE = 'balancer'
LIVE_STATE = 'live'
FLOW_KEY_OBJECT = 'flow-key/current'


@frozen
class Written:
    """A template or team as it is stored, with who wrote it.

    ``nonce`` tells a writer whose answer was lost that it is its own.
    """

    document: dict
    writer: str
    nonce: str
    written_wall_ms: int


class ClaimState(Enum):
    """Whether an address is served, or is on its way to a new owner."""

    HELD = 'held'
    RELEASING = 'releasing'


@frozen
class Claim:
    """Which service an address belongs to.

    ``generation`` grows whenever the address changes hands.
    """

    team: str
    service: str
    generation: int
    state: str = ClaimState.HELD.value


@frozen
class FlowKey:
    """One key that seals flow tokens."""

    id: int
    secret_hex: str
    created_wall_ms: int


@frozen
class FlowKeys:
    """All keys that open tokens; ``current`` is the id that seals."""

    current: int
    keys: list[FlowKey] = Factory(list)


@frozen
class Drain:
    """An operator's word that a target gets no new work."""

    target: str
    asked_wall_ms: int = 0


@frozen
class Evacuation:
    """An operator's word that a failure domain's targets get nothing new.

    The name of the object is that of the domain.
    """

    writer: str = ''
    asked_wall_ms: int = 0


@frozen
class InstanceEntry:
    """One line of the platform's instance list."""

    name: str
    failure_domain: str
    role: str
    state: str


@frozen
class DomainStatus:
    """What the lease holder of a failure domain reports.

    ``revision`` is the highest version of configuration that the holder
    has read; ``missing`` names the live balancers that do not hold it.
    ``problems`` maps keys of invalid objects to what is wrong with them.
    """

    failure_domain: str
    holder: str
    epoch: int
    revision: int
    applied: list[str] = Factory(list)
    missing: list[str] = Factory(list)
    problems: dict[str, str] = Factory(dict)
    draining: list[str] = Factory(list)
