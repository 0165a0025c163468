"""Objects of a store, and what lists and watches tell of them."""

from attrs import frozen

from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message
from liftmount._internal.models.segments import RouteTable
from liftmount._internal.models.segments import TargetEntry

# The kinds of objects that are followed.
ROUTES = 'routes'
TARGETS = 'targets'
EVACUATIONS = 'evacuations'


@frozen
class StoredObject:
    """One version of an object; ``value`` is None once it is deleted."""

    key: str
    version: int
    value: dict | None

    @property
    def kind(self) -> str:
        """Return the part of the key before the slash."""
        return self.key.partition('/')[0]

    @property
    def name(self) -> str:
        """Return the part of the key after the slash."""
        return self.key.partition('/')[2]


@message
class Listing(Message):
    """All objects of a kind as of ``revision``.

    ``age_ms`` is the time that passed since the store began to answer.  A
    list that ``may_lag`` may have been seconds old then.  ``size_bytes`` is
    what all pages of the answer took, 0 if that is not known.
    """

    items: tuple
    revision: int
    age_ms: int = 0
    may_lag: bool = False
    size_bytes: int = 0


@message
class Delta(Message):
    """Objects written and names removed from ``base`` to ``revision``.

    ``age_ms`` is the time that passed since the store began to answer.
    ``changes`` are the revisions of all these changes, as far as it told
    them.
    """

    written: tuple
    removed: tuple[str, ...]
    revision: int
    base: int = 0
    age_ms: int = 0
    changes: tuple[int, ...] = ()


@message
class FeedUpdate(Message):
    """A call of a feed was answered."""

    feed: str
    update: Listing | Delta


@message
class FeedFailed(Message):
    """A call of a feed got no usable answer."""

    feed: str
    cause: str


@message
class Expiring(Message):
    """A target that is known for ``left_ms`` more."""

    entry: TargetEntry
    left_ms: int


@message
class Evacuated(Message):
    """All failure domains that are evacuated as of ``revision``."""

    domains: frozenset[str]
    revision: int


@message
class Snapshot(Message):
    """All targets, routes and evacuations, each as of a revision.

    ``targets`` are in the store, ``missing`` have vanished from it of
    late, and ``retired`` are gone, but may still hold flows.  ``evacuated``
    is None if that is not known.
    """

    targets: tuple[TargetEntry, ...]
    targets_revision: int
    table: RouteTable | None
    routes_revision: int
    missing: tuple[Expiring, ...] = ()
    retired: tuple[Expiring, ...] = ()
    evacuated: Evacuated | None = None


@message
class TargetUnknown(Message):
    """A segment waits for a target that is not known here."""

    now_ms: int


@message
class DomainMembers(Message):
    """Live members of the own domain; isolated if no other one lives.

    ``fleet`` is about how many there are in all domains, also of those that
    died of late; 0 until this one has heard of its whole domain.
    """

    local: int
    is_isolated: bool
    fleet: int = 0
