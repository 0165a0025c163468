"""Templates, teams, and the services that result from them."""

from ipaddress import ip_network

from attrs import Factory
from attrs import field
from attrs import frozen

from liftmount._internal.exceptions import ConfigurationError
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.problems import Problem
from liftmount._internal.utils import checks
from liftmount._internal.utils.documents import check_fields
from liftmount._internal.utils.documents import checked
from liftmount._internal.utils.documents import structure

MODES = ('stream', 'request')
PRIORITIES = ('urgent', 'normal', 'may-wait')
MAX_DEADLINE_MS = 600_000
MAX_QUEUE = 100_000

check_mode = checks.one_of(*MODES)
check_priority = checks.one_of(*PRIORITIES)
check_deadline_ms = checks.between(1, MAX_DEADLINE_MS)
check_queue = checks.between(0, MAX_QUEUE)


@frozen
class ServiceTemplate:
    """A service that every team of a template has."""

    name: str = checked(checks.name, help_text='Name of the service.')
    mode: str = checked(check_mode, help_text='stream or request.')
    pool: str = checked(checks.name, help_text='Pool of targets.')
    priority: str = checked(
        check_priority, 'normal', 'urgent, normal or may-wait.'
    )
    repeatable: bool = checked(
        None, False, 'Whether a request may run more than once.'
    )
    deadline_ms: int = checked(
        check_deadline_ms, 10_000, 'Longest deadline of a request.'
    )
    max_queue: int = checked(
        check_queue, 256, 'Requests that may wait for a slot.'
    )


@frozen
class Template:
    """The services that a set of teams have in common."""

    name: str = checked(checks.name, help_text='Name of the template.')
    services: list[ServiceTemplate] = checked(
        lambda value: None if value else 'expected at least one',
        help_text='Services of each team.',
    )


@frozen
class ServiceParameters:
    """A team's overrides of its template for one service."""

    priority: str | None = checked(None, None, 'See the template.')
    repeatable: bool | None = checked(None, None, 'See the template.')
    deadline_ms: int | None = checked(None, None, 'See the template.')
    max_queue: int | None = checked(None, None, 'See the template.')


@frozen
class Target:
    """One endpoint of a team's pool."""

    name: str = checked(checks.name, help_text='Name, unique in the team.')
    pool: str = checked(checks.name, help_text='Pool it belongs to.')
    address: Endpoint = checked(None, help_text='IP:PORT of the target.')
    failure_domain: str = checked(checks.name, help_text='Failure domain.')


@frozen
class Team:
    """The configuration of one team."""

    name: str = checked(checks.name, help_text='Name of the team.')
    template: str = checked(checks.name, help_text='Name of its template.')
    addresses: dict[str, Endpoint] = checked(
        None, help_text='Address of each service.'
    )
    caller_prefixes: list[str] = checked(
        checks.prefixes, help_text='Callers that may use the services.'
    )
    targets: list[Target] = checked(
        None, Factory(list), 'Targets of the team.'
    )
    services: dict[str, ServiceParameters] = checked(
        None, Factory(dict), 'Overrides of the template, by service.'
    )


@frozen
class Service:
    """A team's service as the balancers serve it.

    ``generation`` is that of its address's claim, and ``pool_key`` names
    its pool uniquely across teams.
    """

    team: str
    name: str
    mode: str
    pool: str
    address: Endpoint
    priority: str
    repeatable: bool
    deadline_ms: int
    max_queue: int
    networks: tuple
    generation: int = 0
    # Computed once, because they are used for every packet.
    pool_key: str = field(init=False, eq=False)
    address_text: str = field(init=False, eq=False)

    @pool_key.default
    def _pool_key(self):
        return f'{self.team}/{self.pool}'

    @address_text.default
    def _address_text(self):
        return str(self.address)


def parse_template(document: dict, source: str) -> Template:
    """Return the template of a document.

    Raises ConfigurationError if the document is invalid.
    """
    template = structure(document, Template, source)
    problems = check_fields(template, source)
    seen = set()
    for index, service in enumerate(template.services):
        prefix = f'services[{index}].'
        problems += check_fields(service, source, prefix)
        if service.name in seen:
            problems.append(
                _make_duplicate_problem(source, f'{prefix}name', service.name)
            )
        seen.add(service.name)
    if problems:
        raise ConfigurationError(problems)
    return template


def parse_team(document: dict, source: str) -> Team:
    """Return the team of a document, checked without its template.

    Raises ConfigurationError if the document is invalid.
    """
    team = structure(document, Team, source)
    problems = check_fields(team, source)
    problems += _check_targets(team, source)
    for name, parameters in team.services.items():
        prefix = f'services.{name}.'
        problems += _check_parameters(parameters, source, prefix)
    seen = set()
    for name, address in team.addresses.items():
        if address in seen:
            key = f'addresses.{name}'
            problems.append(_make_duplicate_problem(source, key, str(address)))
        seen.add(address)
    if problems:
        raise ConfigurationError(problems)
    return team


def _make_duplicate_problem(source, key, value):
    return Problem(source, key, repr(value), 'is used twice')


def _check_targets(team, source):
    problems = []
    names = set()
    addresses = set()
    for index, target in enumerate(team.targets):
        prefix = f'targets[{index}].'
        problems += check_fields(target, source, prefix)
        if target.name in names:
            problems.append(
                _make_duplicate_problem(source, f'{prefix}name', target.name)
            )
        if target.address in addresses:
            address = str(target.address)
            problems.append(
                _make_duplicate_problem(source, f'{prefix}address', address)
            )
        names.add(target.name)
        addresses.add(target.address)
    return problems


_PARAMETER_CHECKS = {
    'priority': check_priority,
    'deadline_ms': check_deadline_ms,
    'max_queue': check_queue,
}


def _check_parameters(parameters, source, prefix):
    problems = []
    for name, check in _PARAMETER_CHECKS.items():
        value = getattr(parameters, name)
        message = check(value) if value is not None else None
        if message:
            key = f'{prefix}{name}'
            problems.append(Problem(source, key, repr(value), message))
    return problems


def resolve_services(team: Team, template: Template, source: str) -> list:
    """Return the services of a team according to its template.

    Raises ConfigurationError if the team names services or pools that the
    template does not have.
    """
    known = {service.name for service in template.services}
    pools = {service.pool for service in template.services}
    problems = []
    for section in ('addresses', 'services'):
        for name in getattr(team, section):
            if name not in known:
                text = f'template {template.name} has no such service'
                key = f'{section}.{name}'
                problems.append(Problem(source, key, repr(name), text))
    for index, target in enumerate(team.targets):
        if target.pool not in pools:
            text = f'template {template.name} has no such pool'
            key = f'targets[{index}].pool'
            problems.append(Problem(source, key, repr(target.pool), text))
    if problems:
        raise ConfigurationError(problems)
    networks = tuple(ip_network(prefix) for prefix in team.caller_prefixes)
    return [
        _resolve_service(team, service, networks)
        for service in template.services
        if service.name in team.addresses
    ]


def _resolve_service(team, service, networks):
    overrides = team.services.get(service.name, ServiceParameters())

    def choose(name):
        value = getattr(overrides, name)
        return getattr(service, name) if value is None else value

    return Service(
        team=team.name,
        name=service.name,
        mode=service.mode,
        pool=service.pool,
        address=team.addresses[service.name],
        priority=choose('priority'),
        repeatable=choose('repeatable'),
        deadline_ms=choose('deadline_ms'),
        max_queue=choose('max_queue'),
        networks=networks,
    )
