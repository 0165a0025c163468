"""Objects of the platform's store, turned into the project's types."""

from attrs import define

from liftmount._internal.exceptions import StoredObjectError
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.addresses import parse_endpoint
from liftmount._internal.models.segments import Route
from liftmount._internal.models.segments import RouteKind
from liftmount._internal.models.segments import RouteTable
from liftmount._internal.models.segments import ServiceShare
from liftmount._internal.models.segments import TargetEntry
from liftmount._internal.models.segments import WarmUp

CONFIGURATION_KIND = 'config'
TARGET_KIND = 'servers'
EVACUATION_KIND = 'evacuations'
# The one object of its kind that holds routes.
CONFIGURATION_NAME = 'main'
DRAINING = 'draining'
TARGET_STATES = ('ready', DRAINING)
ROUTE_KINDS = {
    'idempotent': RouteKind.REPEATABLE,
    'non_idempotent': RouteKind.AT_MOST_ONCE,
    'download': RouteKind.DOWNLOAD,
    'upload': RouteKind.UPLOAD,
}
# Where no limit can be read: a flow that is forgotten later than it might be
# takes memory, and nothing else.
DEFAULT_IDLE_TIMEOUT_MS = 60_000
HEX_BASE = 16
MAX_NUMBER_DIGITS = 16
MS_PER_S = 1_000
HIGHEST_PORT = 65_535
DEFAULT_WEIGHT = 1


class Fields:
    """The fields of one stored document; errors name object and field."""

    def __init__(self, name: str, document, path: str = ''):
        self.name = name
        self.path = path
        if type(document) is not dict:
            raise StoredObjectError(name, path, document, 'expected fields')
        self._document = document

    def error(self, field: str, message: str) -> StoredObjectError:
        """Return an error about a field."""
        value = self._document.get(field)
        return StoredObjectError(
            self.name, f'{self.path}{field}', value, message
        )

    def string(self, field: str) -> str:
        """Return a text that is not empty."""
        value = self._document.get(field)
        if type(value) is not str or not value:
            raise self.error(field, 'expected a text')
        return value

    def number(self, field: str, default: int | None = None) -> int:
        """Return a whole number from 0 on; fractions are cut."""
        return int(self.float_number(field, default))

    def float_number(self, field: str, default: float | None = None) -> float:
        """Return a number from 0 on."""
        value = self._document.get(field)
        value = default if value is None else value
        if type(value) not in (int, float) or not 0 <= value < 2**63:
            raise self.error(field, 'expected a number from 0 on')
        return value

    def integer(self, field: str, default: int | None = None) -> int:
        """Return a whole number from 0 on."""
        if type(self._document.get(field, default)) is not int:
            raise self.error(field, 'expected a whole number')
        return self.number(field, default)

    def strings(self, field: str) -> list[str]:
        """Return a list of texts, maybe none."""
        value = self._document.get(field) or []
        if type(value) is not list or not all(
            type(one) is str for one in value
        ):
            raise self.error(field, 'expected a list of texts')
        return value

    def one_of(self, field: str, choices) -> str:
        """Return a text that is one of ``choices``."""
        value = self.string(field)
        if value not in choices:
            raise self.error(field, f'expected one of {list(choices)}')
        return value

    def list_items(self, field: str) -> list:
        """Return what a list holds, whatever that is."""
        value = self._document.get(field)
        if type(value) is not list:
            raise self.error(field, 'expected a list')
        return value

    def sections(self, field: str) -> list:
        """Return the fields of each document in a list, maybe none."""
        if field not in self._document:
            return []
        return [
            Fields(self.name, one, f'{self.path}{field}[{index}].')
            for index, one in enumerate(self.list_items(field))
        ]

    def integers(self, field: str) -> list[int]:
        """Return a list of at least one number."""
        value = self._document.get(field)
        is_list = type(value) is list and len(value) > 0
        if not is_list or not all(type(one) is int for one in value):
            raise self.error(field, 'expected a list of numbers')
        return value

    def endpoints(self, field: str) -> list[Endpoint]:
        """Return a list of addresses with ports, maybe none."""
        value = self._document.get(field, [])
        if type(value) is not list:
            raise self.error(field, 'expected a list of addresses')
        try:
            return [parse_endpoint(str(one)) for one in value]
        except ValueError as error:
            raise self.error(field, str(error)) from error

    def string_map(self, field: str) -> dict[str, str]:
        """Return a table of texts, maybe an empty one."""
        value = self._document.get(field) or {}
        if type(value) is not dict or not all(
            type(one) is str for one in value.values()
        ):
            raise self.error(field, 'expected a table of texts')
        return value

    def section(self, field: str):
        """Return the fields of a document inside."""
        value = self._document.get(field, {})
        return Fields(self.name, value, f'{self.path}{field}.')

    def endpoint(self, field: str) -> Endpoint:
        """Return an address with its port."""
        text = self.string(field)
        try:
            return parse_endpoint(text)
        except ValueError as error:
            raise self.error(field, str(error)) from error


@define
class _Service:
    """What a configuration says of a service; it may state no rate."""

    name: str
    health_path: str
    warm_up: WarmUp | None


def read_evacuated(name: str, _spec, _report) -> str:
    """Return the failure domain that an object asks to evacuate.

    The object's name says it all; whatever else it holds is passed over.
    """
    return name


def read_target(name: str, spec, _report) -> TargetEntry:
    """Read the entry that a target keeps of itself.

    Anybody may write one.  What lacks a field that targets write, or holds
    one of another type, names no target: StoredObjectError.
    """
    fields = Fields(f'{TARGET_KIND}/{name}', spec)
    fields.string('version')
    fields.number('sequence')
    return TargetEntry(
        name=name,
        number=_target_number(name),
        service=fields.string('backend'),
        endpoint=fields.endpoint('address'),
        failure_domain=fields.string('zone'),
        slots=max(1, fields.number('capacity')),
        draining=fields.one_of('state', TARGET_STATES) == DRAINING,
        warm_up_ms=fields.number('warmup_left_ms'),
        # Not every platform says when a target started.
        started_wall_ms=fields.integer('born', 0),
    )


def _target_number(name):
    """Return the number that the hex digits of an id stand for."""
    digits = name.rpartition('-')[2]
    try:
        number = int(digits, HEX_BASE)
    except ValueError:
        number = -1
    if number < 0 or len(digits) > MAX_NUMBER_DIGITS:
        message = 'expected up to 16 hex digits after the last dash'
        raise StoredObjectError(TARGET_KIND, 'name', name, message)
    return number


def read_routes(name: str, spec, report) -> RouteTable:
    """Read a configuration; of two routes to one address the first holds.

    ``report(error)`` hears of each route, service or limit that is left out
    as it can't be read; the others hold.  Without a version or a list of
    routes there is no configuration: StoredObjectError.
    """
    fields = Fields(f'{CONFIGURATION_KIND}/{name}', spec)
    if name != CONFIGURATION_NAME:
        message = f'expected {CONFIGURATION_NAME}'
        raise StoredObjectError(CONFIGURATION_KIND, 'name', name, message)
    routes = {}
    for route in _read_items(fields, 'routes', _read_route, report):
        routes.setdefault(route.address, route)
    services = _read_services(fields, report)
    return RouteTable(
        version=fields.number('version'),
        routes=routes,
        health_paths={one.name: one.health_path for one in services},
        idle_limit_ms=_read_idle_limit(fields, report),
        warm_ups={one.name: one.warm_up for one in services if one.warm_up},
    )


def _read_items(fields, field, read, report):
    """Return what can be read of a list, in its order."""
    found = []
    for index, document in enumerate(fields.list_items(field)):
        path = f'{fields.path}{field}[{index}].'
        try:
            found.append(read(Fields(fields.name, document, path), report))
        except StoredObjectError as error:
            report(error)
    return found


def _read_services(fields, report):
    try:
        return _read_items(fields, 'backends', _read_service, report)
    except StoredObjectError as error:
        report(error)
        return []


def _read_idle_limit(fields, report):
    try:
        return fields.section('limits').number('idle_timeout_ms')
    except StoredObjectError as error:
        report(error)
        return DEFAULT_IDLE_TIMEOUT_MS


def _read_service(fields, _report):
    warm_up = WarmUp(
        per_s=fields.float_number('warmup_per_s', 0),
        lasts_ms=round(MS_PER_S * fields.float_number('warmup_s', 0)),
    )
    return _Service(
        name=fields.string('name'),
        health_path=fields.string('health_check_path'),
        warm_up=warm_up if warm_up.per_s else None,
    )


def _read_kind(fields, report):
    """Return the kind of a route.

    What the requests of a kind that is not known allow is not known either:
    they get the strictest promise.
    """
    kind = ROUTE_KINDS.get(fields.string('type'))
    if kind is not None:
        return kind
    report(fields.error('type', f'expected one of {sorted(ROUTE_KINDS)}'))
    return RouteKind.AT_MOST_ONCE


def _read_route(fields, report):
    shares = [
        ServiceShare(one.string('backend'), one.number('weight'))
        for one in fields.sections('weighted_backends')
    ]
    if not shares:
        shares = [ServiceShare(fields.string('backend'), DEFAULT_WEIGHT)]
    return Route(
        name=fields.string('name'),
        address=_read_address(fields),
        kind=_read_kind(fields, report),
        shares=tuple(shares),
        priority=fields.number('priority', 0),
        objective_ms=fields.number('target_latency_ms', 0),
        regions=frozenset(fields.strings('allowed_regions')),
    )


def _read_address(fields):
    """Return an address whose port stands where a path is expected."""
    ip = fields.string('host')
    port = fields.string('path_prefix').strip('/')
    if not port.isdecimal() or int(port) > HIGHEST_PORT:
        raise fields.error('path_prefix', 'expected a port between slashes')
    try:
        return parse_endpoint(f'{ip}:{port}')
    except ValueError as error:
        raise fields.error('host', str(error)) from error
