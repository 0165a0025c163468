"""Which failure domains are evacuated: their targets get nothing further.

An operator evacuates a domain before its targets are taken away, and takes
it back later.  What is known is the whole set as of a revision of the store,
so that the newer of two is right whoever tells it.
"""

from attrs import define

from liftmount._internal.models.feeds import Delta
from liftmount._internal.models.feeds import Evacuated
from liftmount._internal.models.feeds import Listing
from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message


@message
class EvacuationsChanged(Message):
    """Other failure domains are evacuated now than before."""

    domains: frozenset[str]
    evacuated: frozenset[str]
    returned: frozenset[str]


@define
class EvacuationState:
    """What is known; None until somebody has told."""

    known: Evacuated | None = None

    @property
    def revision(self) -> int:
        """Return as of when it is known."""
        return self.known.revision if self.known else 0


def decide(
    state: EvacuationState, update: Listing | Delta | Evacuated
) -> list:
    """Return an EvacuationsChanged if other domains are evacuated now.

    The items of a Listing and of a Delta are names of failure domains.
    """
    before = state.known
    if before is not None and update.revision <= before.revision:
        # Peers and lists that lag must not take anything back.
        return []
    known = before.domains if before else frozenset()
    domains = _domains_after(known, update)
    state.known = Evacuated(domains, update.revision)
    if before is not None and domains == known:
        return []
    return [EvacuationsChanged(domains, domains - known, known - domains)]


def _domains_after(known, update):
    match update:
        case Evacuated(domains):
            return domains
        case Listing(items):
            return frozenset(items)
        case Delta(written, removed):
            return (known | set(written)) - set(removed)
    raise TypeError(f'unknown news {update!r}')
