"""Checks whether a version is in force on every balancer."""

from attrs import frozen

from liftmount._internal.decisions.claims import in_force
from liftmount._internal.store.instances import read_live_domains
from liftmount._internal.store.interface import StoreClient
from liftmount._internal.store.statuses import read_statuses


@frozen
class RolloutStatus:
    """Whether a version is in force on every balancer; if not, why."""

    is_in_force: bool
    reason: str = ''


async def read_rollout_status(
    store: StoreClient, version: int
) -> RolloutStatus:
    """Return whether every live balancer holds ``version``."""
    statuses = await read_statuses(store)
    domains = await read_live_domains(store)
    if not domains:
        return RolloutStatus(False, 'there is no live balancer')
    if in_force(version, statuses, domains):
        return RolloutStatus(True)
    return RolloutStatus(False, _describe_lag(version, statuses, domains))


def _describe_lag(version, statuses, domains):
    by_domain = {status.failure_domain: status for status in statuses}
    reasons = []
    for name in sorted(domains):
        status = by_domain.get(name)
        if status is None:
            reasons.append(f'domain {name} has not reported')
        elif status.revision < version:
            text = f'domain {name} reports version {status.revision}'
            reasons.append(text)
        elif status.missing:
            names = ', '.join(status.missing)
            reasons.append(f'domain {name} misses {names}')
    return '; '.join(reasons)
