"""Addresses change hands with a gap between the old and the new owner.

An address is released everywhere before it is granted anywhere: the claim
goes from ``held`` to ``releasing``, and to its new owner only once every
live balancer of every failure domain has the release in force.
"""

from attrs import frozen

from liftmount._internal.decisions.rollout import ConfigurationView
from liftmount._internal.models.objects import Claim
from liftmount._internal.models.objects import ClaimState
from liftmount._internal.models.objects import DomainStatus


@frozen
class WriteClaim:
    """Write a claim if its version still is ``expected_version``."""

    address: str
    claim: Claim
    expected_version: int


@frozen
class ClaimConflict:
    """Two services ask for one address."""

    address: str
    holder: str
    others: tuple


def in_force(
    version: int, statuses: list[DomainStatus], domains: set[str]
) -> bool:
    """Tell whether all balancers of all ``domains`` hold ``version``.

    A domain without a status, as one that is cut off, is not counted as
    having it.
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
    """Return the claims to be written, and the conflicts.

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
    ordered = sorted(services, key=lambda one: (one.team, one.name))
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
    if any((one.team, one.name) == holder for one in ordered):
        ordered.sort(key=lambda one: (one.team, one.name) != holder)
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
    names = tuple(f'{one.team}/{one.name}' for one in ordered)
    return [ClaimConflict(address, names[0], names[1:])]
