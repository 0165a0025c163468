"""Transfer of addresses between services.

A claim assigns an address to one service.  An address is released on every
balancer before it is granted to another service: its claim goes from
``held`` to ``releasing``, and to the new service once all live balancers of
all failure domains have applied the release.
"""

from attrs import frozen

from liftmount._internal.decisions.rollout import ConfigurationView
from liftmount._internal.models.objects import Claim
from liftmount._internal.models.objects import ClaimState
from liftmount._internal.models.objects import DomainStatus


@frozen
class WriteClaim:
    """Write a claim if its version is still ``expected_version``."""

    address: str
    claim: Claim
    expected_version: int


@frozen
class ClaimConflict:
    """Several services are configured with the same address.

    ``holder`` and ``others`` have the form ``team/service``.
    """

    address: str
    holder: str
    others: tuple


def in_force(
    version: int, statuses: list[DomainStatus], domains: set[str]
) -> bool:
    """Return whether all balancers of all ``domains`` hold ``version``.

    A domain without a status, such as a disconnected one, does not count
    as holding it.
    """
    reported = {
        status.failure_domain
        for status in statuses
        if status.revision >= version and not status.missing
    }
    return domains <= reported


def decide(
    view: ConfigurationView,
    claims: dict[str, tuple[int, Claim]],
    statuses: list[DomainStatus],
    domains: set[str],
) -> list:
    """Return the claims to write, and the conflicts.

    ``claims`` maps each address to the version and content of its claim.
    """
    actions = []
    for address, services in view.wanted.items():
        known = claims.get(str(address))
        actions += _decide_address(
            str(address), services, known, statuses, domains
        )
    return actions


def _decide_address(address, services, known, statuses, domains):
    ordered = sorted(
        services, key=lambda service: (service.team, service.name)
    )
    if known is None:
        claim = _make_held_claim(ordered[0], 1)
        return [
            WriteClaim(address, claim, 0),
            *_find_conflict(address, ordered),
        ]
    version, claim = known
    holder = (claim.team, claim.service)
    if claim.state == ClaimState.RELEASING.value:
        if not in_force(version, statuses, domains):
            return []
        grant = _make_held_claim(ordered[0], claim.generation + 1)
        return [WriteClaim(address, grant, version)]
    if any((service.team, service.name) == holder for service in ordered):
        ordered.sort(
            key=lambda service: (service.team, service.name) != holder
        )
        return _find_conflict(address, ordered)
    released = Claim(
        team=claim.team,
        service=claim.service,
        generation=claim.generation,
        state=ClaimState.RELEASING.value,
    )
    return [WriteClaim(address, released, version)]


def _make_held_claim(service, generation):
    return Claim(service.team, service.name, generation)


def _find_conflict(address, ordered):
    if len(ordered) < 2:
        return []
    names = tuple(f'{service.team}/{service.name}' for service in ordered)
    return [ClaimConflict(address, names[0], names[1:])]
