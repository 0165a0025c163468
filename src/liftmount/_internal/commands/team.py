"""The command ``liftmount team``."""

from liftmount._internal.commands.documents import DocumentCommand
from liftmount._internal.commands.documents import stored_document
from liftmount._internal.commands.rollout_status import read_rollout_status
from liftmount._internal.commands.rollout_status import RolloutStatus
from liftmount._internal.exceptions import ConfigurationError
from liftmount._internal.models.configuration import parse_team
from liftmount._internal.models.configuration import parse_template
from liftmount._internal.models.configuration import resolve_services
from liftmount._internal.models.objects import Claim
from liftmount._internal.models.objects import ClaimState
from liftmount._internal.models.objects import ObjectKind
from liftmount._internal.models.problems import Problem
from liftmount._internal.utils.documents import structure


class TeamCommand(DocumentCommand):
    """Check, write and show teams.

    A team gives the parameters of a template: the addresses of its
    services, its targets, and the clients that may use it.
    """

    name = 'team'
    kind = ObjectKind.TEAM

    def parse(self, document, source):
        """Parse a team; raises ConfigurationError if it is invalid."""
        return parse_team(document, source)

    async def check_against_store(self, parsed, source, store):
        """Check a team against its template and the other teams.

        Raises ConfigurationError if the template is missing or does not
        fit, or if another team has an address or target of this one.
        """
        key = f'{ObjectKind.TEMPLATE.value}/{parsed.template}'
        document = stored_document(await store.get(key))
        if document is None:
            text = 'there is no such template'
            value = repr(parsed.template)
            problem = Problem(source, 'template', value, text)
            raise ConfigurationError([problem])
        resolve_services(parsed, parse_template(document, key), source)
        problems = []
        for other in await _read_other_teams(store, parsed.name):
            problems += _find_conflicts(parsed, other, source)
        if problems:
            raise ConfigurationError(problems)

    async def check_rollout(self, store, parsed, version):
        """Return whether the team and its address claims are in force."""
        found = await read_rollout_status(store, version)
        if not found.is_in_force:
            return found
        return await _check_claims(store, parsed)


async def _read_other_teams(store, name):
    listing = await store.list(ObjectKind.TEAM.value)
    teams = []
    for item in listing.items:
        document = stored_document(item)
        if document is None or item.name == name:
            continue
        try:
            teams.append(parse_team(document, item.key))
        except ConfigurationError:
            # An invalid stored team must not block changes to others.
            continue
    return teams


def _find_conflicts(team, other, source):
    problems = []
    taken = {str(address): name for name, address in other.addresses.items()}
    for name, address in team.addresses.items():
        if str(address) in taken:
            text = f'is the address of {other.name}/{taken[str(address)]}'
            key = f'addresses.{name}'
            problems.append(Problem(source, key, f"'{address}'", text))
    targets = {one.address: one.name for one in other.targets}
    for index, target in enumerate(team.targets):
        if target.address in targets:
            text = f'is target {other.name}/{targets[target.address]}'
            key = f'targets[{index}].address'
            value = f"'{target.address}'"
            problems.append(Problem(source, key, value, text))
    return problems


async def _check_claims(store, team):
    listing = await store.list(ObjectKind.CLAIM.value)
    known = {item.name: item for item in listing.items}
    newest = 0
    for service, address in team.addresses.items():
        item = known.get(str(address))
        if item is None:
            return RolloutStatus(False, f'{address} is not granted yet')
        claim = structure(item.value, Claim, item.key)
        holder = (claim.team, claim.service)
        is_held = claim.state == ClaimState.HELD.value
        if not is_held or holder != (team.name, service):
            text = f'{address} is not yet released by {claim.team}'
            return RolloutStatus(False, text)
        newest = max(newest, item.version)
    return await read_rollout_status(store, newest)


COMMAND = TeamCommand()
