"""Whether something is in force on every balancer."""

from attrs import frozen

from liftmount._internal.decisions.claims import in_force
from liftmount._internal.models.objects import BALANCER_ROLE
from liftmount._internal.models.objects import LIVE
from liftmount._internal.platform.client import PlatformClient
from liftmount._internal.platform.statuses import read_statuses


@frozen
class InForce:
    """Whether a version holds everywhere, and else why not."""

    holds: bool
    why: str = ''


async def live_domains(client: PlatformClient) -> set[str]:
    """Return the failure domains that have live balancers."""
    listing = await client.instances()
    return {
        entry.failure_domain
        for entry in listing.instances
        if entry.role == BALANCER_ROLE and entry.state == LIVE
    }


async def check_version(client: PlatformClient, version: int) -> InForce:
    """Tell whether every balancer holds ``version``."""
    statuses = await read_statuses(client)
    domains = await live_domains(client)
    if not domains:
        return InForce(False, 'there is no live balancer')
    if in_force(version, statuses, domains):
        return InForce(True)
    return InForce(False, _why(version, statuses, domains))


def _why(version, statuses, domains):
    known = {status.failure_domain: status for status in statuses}
    reasons = []
    for name in sorted(domains):
        status = known.get(name)
        if status is None:
            reasons.append(f'domain {name} has not reported')
        elif status.revision < version:
            text = f'domain {name} reports version {status.revision}'
            reasons.append(text)
        elif status.missing:
            names = ', '.join(status.missing)
            reasons.append(f'domain {name} misses {names}')
    return '; '.join(reasons)
