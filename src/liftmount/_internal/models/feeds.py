"""Objects of the store, and the results of lists and watches."""

from attrs import frozen

from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message
from liftmount._internal.models.segments import RouteTable
from liftmount._internal.models.segments import TargetEntry

# Feeds: the kinds of objects that are listed and watched.
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

    ``age_ms`` is the time since the store began to answer.  A list that
    ``may_lag`` may have been seconds old by then.  ``size_bytes`` is the
    size of all pages of the answer, 0 if unknown.
    """

    items: tuple
    revision: int
    age_ms: int = 0
    may_lag: bool = False
    size_bytes: int = 0


@message
class Delta(Message):
    """Objects written and names removed from ``base`` to ``revision``.

    ``age_ms`` is the time since the store began to answer.  ``changes``
    holds the revisions of these changes, as far as the answer has them.
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
    """The entry of a target that is kept for ``left_ms`` more."""

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

    ``targets`` are in the store, ``missing`` were removed from it recently
    and may come back, and ``retired`` have ended but may still have flows.
    ``evacuated`` is None if the evacuated domains are not known.  ``refused``
    counts the entries of a peer that were left out as they are invalid.
    """

    targets: tuple[TargetEntry, ...]
    targets_revision: int
    table: RouteTable | None
    routes_revision: int
    missing: tuple[Expiring, ...] = ()
    retired: tuple[Expiring, ...] = ()
    evacuated: Evacuated | None = None
    refused: int = 0


@message
class TargetUnknown(Message):
    """A segment waits for a target that is not in the directory."""

    now_ms: int


@message
class RouteUnknown(Message):
    """A segment waits for a route that is not in the table."""

    now_ms: int


@message
class DomainMembers(Message):
    """Number of live members of the own domain.

    ``is_isolated`` is true if members of other domains are known but none is
    reachable.  ``fleet`` estimates the members of all domains, recently dead
    ones included; 0 until the members of the own domain are known.
    """

    local: int
    is_isolated: bool
    fleet: int = 0
