"""Evacuated failure domains, whose targets get no new flows.

An operator evacuates a domain before its targets are removed, and returns it
to service later.  The state is the whole set as of a revision of the store,
so the newer of two sets holds, from the store or a peer.
"""

from attrs import define

from liftmount._internal.models.feeds import Delta
from liftmount._internal.models.feeds import Evacuated
from liftmount._internal.models.feeds import Listing
from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message


@message
class EvacuationsChanged(Message):
    """The set of evacuated failure domains has changed to ``domains``."""

    domains: frozenset[str]
    evacuated: frozenset[str]
    returned: frozenset[str]


@define
class EvacuationState:
    """The evacuated domains; ``known`` is None before the first update."""

    known: Evacuated | None = None

    @property
    def revision(self) -> int:
        """Return the revision of the set, 0 before the first update."""
        return self.known.revision if self.known else 0


def decide(
    state: EvacuationState, update: Listing | Delta | Evacuated
) -> list:
    """Return an EvacuationsChanged if the set has changed.

    The items of a Listing and of a Delta are names of failure domains.
    """
    before = state.known
    if before is not None and update.revision <= before.revision:
        # Peers and lists that lag must not revert anything.
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
    raise TypeError(f'unknown update {update!r}')
