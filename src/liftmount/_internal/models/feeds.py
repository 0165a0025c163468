"""What a feed of the store's objects tells, whatever they hold."""

from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message
from liftmount._internal.models.segments import RouteTable
from liftmount._internal.models.segments import TargetEntry

# The two kinds of objects that are followed.
ROUTES = 'routes'
TARGETS = 'targets'


@message
class Listing(Message):
    """All objects of a kind as of ``revision``."""

    items: tuple
    revision: int


@message
class Delta(Message):
    """Objects written and names removed from ``base`` to ``revision``."""

    written: tuple
    removed: tuple[str, ...]
    revision: int
    base: int = 0


@message
class Knowledge(Message):
    """All targets and routes, each as of a revision of the store."""

    targets: tuple[TargetEntry, ...]
    targets_revision: int
    table: RouteTable | None
    routes_revision: int


@message
class TargetUnknown(Message):
    """A segment waits for a target that is not known here."""

    now_ms: int
