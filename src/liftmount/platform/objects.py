"""Converts objects of the platform's store into the project's types."""

from attrs import define

from liftmount._internal.exceptions import StoredObjectError
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.addresses import MAX_PORT
from liftmount._internal.models.addresses import MAX_PORT_DIGITS
from liftmount._internal.models.addresses import parse_endpoint
from liftmount._internal.models.segments import is_text
from liftmount._internal.models.segments import MAX_DURATION_MS
from liftmount._internal.models.segments import MAX_SLOTS
from liftmount._internal.models.segments import MAX_TEXT_BYTES
from liftmount._internal.models.segments import Route
from liftmount._internal.models.segments import RouteKind
from liftmount._internal.models.segments import RouteTable
from liftmount._internal.models.segments import ServiceShare
from liftmount._internal.models.segments import TargetEntry
from liftmount._internal.models.segments import WarmUp

CONFIGURATION_KIND = 'config'
TARGET_KIND = 'servers'
EVACUATION_KIND = 'evacuations'
# Name of the only object of its kind that is read.
CONFIGURATION_NAME = 'main'
DRAINING = 'draining'
TARGET_STATES = ('ready', DRAINING)
ROUTE_KINDS = {
    'idempotent': RouteKind.REPEATABLE,
    'non_idempotent': RouteKind.AT_MOST_ONCE,
    'download': RouteKind.DOWNLOAD,
    'upload': RouteKind.UPLOAD,
}
# Used if the limit is invalid; a high value only takes memory.
DEFAULT_IDLE_TIMEOUT_MS = 60_000
HEX_BASE = 16
MAX_NUMBER_DIGITS = 16
MS_PER_S = 1_000
DEFAULT_WEIGHT = 1
# Characters that stand for themselves in the first line of a request.
FIRST_VISIBLE = '!'
LAST_VISIBLE = '~'


class Fields:
    """Typed access to the fields of a JSON object.

    ``name`` is that of the stored object or settings file, ``path`` the
    prefix of the fields' names in errors.  Its methods raise
    StoredObjectError naming both if a field is missing or invalid.
    """

    def __init__(self, name: str, document, path: str = ''):
        self.name = name
        self.path = path
        if type(document) is not dict:
            raise StoredObjectError(name, path, document, 'expected an object')
        self._document = document

    def error(self, field: str, message: str) -> StoredObjectError:
        """Return an error about a field, with its value."""
        value = self._document.get(field)
        return StoredObjectError(
            self.name, f'{self.path}{field}', value, message
        )

    def string(self, field: str) -> str:
        """Return a string that is not empty and has a UTF-8 form."""
        value = self._document.get(field)
        if not is_text(value):
            raise self.error(
                field,
                f'expected a non-empty string of up to {MAX_TEXT_BYTES} '
                'bytes of UTF-8',
            )
        return value

    def number(
        self,
        field: str,
        default: int | None = None,
        maximum: int | None = None,
    ) -> int:
        """Return a number from 0 to ``maximum``, truncated to an integer."""
        value = int(self.float_number(field, default))
        if maximum is not None and value > maximum:
            raise self.error(field, f'expected a number of up to {maximum}')
        return value

    def float_number(self, field: str, default: float | None = None) -> float:
        """Return a number of at least 0."""
        value = self._document.get(field)
        value = default if value is None else value
        if type(value) not in (int, float) or not 0 <= value < 2**63:
            raise self.error(
                field, 'expected a number of at least 0, below 2**63'
            )
        return value

    def integer(self, field: str, default: int | None = None) -> int:
        """Return an integer of at least 0."""
        if type(self._document.get(field, default)) is not int:
            raise self.error(field, 'expected an integer')
        return self.number(field, default)

    def strings(self, field: str) -> list[str]:
        """Return a list of strings; it is empty by default."""
        value = self._document.get(field) or []
        if type(value) is not list or not all(is_text(one) for one in value):
            raise self.error(field, 'expected a list of strings')
        return value

    def one_of(self, field: str, choices) -> str:
        """Return a string that is one of ``choices``."""
        value = self.string(field)
        if value not in choices:
            raise self.error(field, f'expected one of {list(choices)}')
        return value

    def list_items(self, field: str) -> list:
        """Return the items of a list, unchecked."""
        value = self._document.get(field)
        if type(value) is not list:
            raise self.error(field, 'expected a list')
        return value

    def sections(self, field: str) -> list:
        """Return the Fields of each object in a list, empty by default."""
        if field not in self._document:
            return []
        return [
            Fields(self.name, one, f'{self.path}{field}[{index}].')
            for index, one in enumerate(self.list_items(field))
        ]

    def integers(self, field: str) -> list[int]:
        """Return a list of at least one integer."""
        value = self._document.get(field)
        is_list = type(value) is list and len(value) > 0
        if not is_list or not all(type(one) is int for one in value):
            raise self.error(field, 'expected a list of integers')
        return value

    def endpoints(self, field: str) -> list[Endpoint]:
        """Return a list of addresses with ports, empty by default."""
        value = self._document.get(field, [])
        if type(value) is not list:
            raise self.error(field, 'expected a list of addresses')
        try:
            return [parse_endpoint(str(one)) for one in value]
        except ValueError as error:
            raise self.error(field, str(error)) from error

    def string_map(self, field: str) -> dict[str, str]:
        """Return a mapping of names to strings, empty by default."""
        value = self._document.get(field) or {}
        if type(value) is not dict or not all(
            type(one) is str for one in value.values()
        ):
            raise self.error(field, 'expected a mapping of names to strings')
        return value

    def section(self, field: str):
        """Return the Fields of a nested object, empty by default."""
        value = self._document.get(field, {})
        return Fields(self.name, value, f'{self.path}{field}.')

    def endpoint(self, field: str) -> Endpoint:
        """Return an address with its port, which is not 0."""
        text = self.string(field)
        try:
            found = parse_endpoint(text)
        except ValueError as error:
            raise self.error(field, str(error)) from error
        if not found.port:
            raise self.error(field, 'expected a port from 1 on')
        return found

    def request_path(self, field: str) -> str:
        """Return the path of a request, in visible ASCII characters."""
        text = self.string(field)
        is_visible = all(FIRST_VISIBLE <= one <= LAST_VISIBLE for one in text)
        if not text.startswith('/') or not is_visible:
            raise self.error(field, 'expected a path that begins with a slash')
        return text


@define
class _Service:
    """A service in a configuration; ``warm_up`` is None without a rate."""

    name: str
    health_path: str
    warm_up: WarmUp | None


def read_evacuated(name: str, _spec, _report) -> str:
    """Return the failure domain to evacuate, which is the object's name."""
    return name


def read_target(name: str, spec, _report) -> TargetEntry:
    """Return the entry that a target writes about itself.

    Raises StoredObjectError if a field that targets write is missing or
    invalid: other writers can add objects of this kind as well.
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
        slots=max(1, fields.number('capacity', maximum=MAX_SLOTS)),
        draining=fields.one_of('state', TARGET_STATES) == DRAINING,
        warm_up_ms=fields.number('warmup_left_ms', maximum=MAX_DURATION_MS),
        # Not every version of the platform has this field.
        started_wall_ms=fields.integer('born', 0),
    )


def _target_number(name):
    """Return the number in the hex digits that end a target's name."""
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
    """Return the routes of a configuration.

    Of several routes with the same address the first is used.  Invalid
    routes, services and limits are skipped, and ``report(error)`` is called
    for each.  Raises StoredObjectError if the version or the list of routes
    is invalid.
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
    """Return the valid items of a list, in its order."""
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
        limits = fields.section('limits')
        return limits.number('idle_timeout_ms', maximum=MAX_DURATION_MS)
    except StoredObjectError as error:
        report(error)
        return DEFAULT_IDLE_TIMEOUT_MS


def _read_service(fields, _report):
    lasts_s = fields.float_number('warmup_s', 0)
    if MS_PER_S * lasts_s > MAX_DURATION_MS:
        raise fields.error('warmup_s', 'expected a week at most')
    warm_up = WarmUp(
        per_s=fields.float_number('warmup_per_s', 0),
        lasts_ms=round(MS_PER_S * lasts_s),
    )
    return _Service(
        name=fields.string('name'),
        health_path=fields.request_path('health_check_path'),
        warm_up=warm_up if warm_up.per_s else None,
    )


def _read_kind(fields, report):
    """Return the kind of a route, AT_MOST_ONCE if its type is unknown.

    That is the strictest kind, and safe for requests of any type.
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
    """Return a route's address; its port is in ``path_prefix``."""
    ip = fields.string('host')
    port = fields.string('path_prefix').strip('/')
    is_number = port.isascii() and port.isdecimal()
    if not is_number or len(port) > MAX_PORT_DIGITS or int(port) > MAX_PORT:
        raise fields.error('path_prefix', 'expected a port between slashes')
    try:
        return parse_endpoint(f'{ip}:{port}')
    except ValueError as error:
        raise fields.error('host', str(error)) from error
