"""Steps for the platform adapter: packets, stored objects, settings."""

import copy
import json
import random
import struct

from behave import then
from behave import when
from hypothesis import given as given_values
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
import tomli_w

from liftmount._internal.exceptions import ConfigurationError
from liftmount._internal.exceptions import LiftmountError
from liftmount._internal.exceptions import PacketError
from liftmount._internal.exceptions import StoredObjectError
from liftmount._internal.models import flow_messages as flows
from liftmount._internal.models import peer_messages as wire
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.feeds import Delta
from liftmount._internal.models.feeds import Listing
from liftmount._internal.models.feeds import Snapshot
from liftmount._internal.models.segments import RouteKind
from liftmount._internal.models.segments import WarmUp
from liftmount.platform import documents
from liftmount.platform import objects
from liftmount.platform import packet_headers
from liftmount.platform import settings
from tests.features.steps.forwarding_steps import make_entry

PAYLOAD = b'payload'
# sequence, acknowledgement, length, address, port, client, port, tag,
# checksum, flags, padding
HEADER_VALUES = (
    0x11223344,
    0x55667788,
    len(PAYLOAD),
    0xC6336401,
    8443,
    0xCB007109,
    40001,
    0xCAFEBABE,
    0xD5C3B2A1,
    0x82,
    1,
)
PACKET_HEADER = struct.pack('<IIHIHIHIIBB', *HEADER_VALUES)
TAG_BYTES = slice(8 + 22, 8 + 26)
ENTRY = {
    'backend': 'guide',
    'address': '127.0.0.1:8080',
    'zone': 'a',
    'version': 'v1',
    'capacity': 3,
    'state': 'ready',
    'warmup_left_ms': 0,
    'sequence': 4,
}
CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'one',
            'host': '198.51.100.1',
            'path_prefix': '/8443/',
            'type': 'idempotent',
            'backend': 'guide',
        },
        {
            'name': 'two',
            'host': '198.51.100.2',
            'path_prefix': '/8443/',
            'type': 'download',
            'weighted_backends': [{'backend': 'guide', 'weight': 90}],
        },
    ],
    'backends': [
        {'name': 'guide', 'health_check_path': '/health', 'warmup_s': 2.0}
    ],
    'limits': {'idle_timeout_ms': 15000},
}
SETTINGS = {
    'node_name': 'one',
    'zone': 'a',
    'listen': {'packets': '127.0.0.1:1', 'ready': '127.0.0.1:2'},
    'bounds': {'grace_s': 6, 'max_flow_s': 60},
    'platform': {'address': '127.0.0.1:3'},
    'ephemeral_ports': [4, 9],
    'seeds': ['127.0.0.2:5'],
}


@when('a list is read in pages of the revisions {revisions}')
def list_in_pages(context, revisions):
    context.problems = []
    context.pages = documents.ListPages('servers', context.problems.append)
    found = [int(one) for one in revisions.split(', ')]
    context.names = [f'one-{number:x}' for number in range(len(found))]
    for number, revision in enumerate(found):
        item = {'meta': {'name': context.names[number]}, 'spec': ENTRY}
        page = {
            'items': [item],
            'more_pages': number + 1 < len(found),
            'current_rev': revision,
        }
        after = context.pages.add(page, number, 100)
        is_last = number + 1 == len(found)
        assert after == ('' if is_last else context.names[number])


@then('it holds the objects of all pages, as of revision {revision:d}')
def list_as_of(context, revision):
    listing = context.pages.listing(len(context.names))
    assert listing.revision == revision, listing.revision
    assert [one.name for one in listing.items] == context.names
    assert listing.size_bytes == 100 * len(context.names), listing
    # The first page began to arrive at 0 ms.
    assert listing.age_ms == len(context.names), listing.age_ms


@when('a packet with known fields is parsed')
def read_packet(context):
    context.segment = packet_headers.read(PACKET_HEADER + PAYLOAD)


@then('each field of the segment has the expected value')
def fields_of_segment(context):
    segment = context.segment
    assert segment.sequence == 0x11223344
    assert segment.acknowledgement == 0x55667788
    assert segment.length_bytes == len(PAYLOAD)
    assert segment.address == Endpoint('198.51.100.1', 8443)
    assert segment.client == Endpoint('203.0.113.9', 40001)
    assert segment.tag == 0xCAFEBABE
    assert segment.opens and not segment.closes and not segment.resets


@when('a packet with known fields is forwarded to target number {number}')
def forward_packet(context, number):
    context.number = int(number, 16)
    entry = make_entry('one', 'guide', number=context.number)
    segment = packet_headers.read(PACKET_HEADER + PAYLOAD)
    action = flows.Forward(segment, entry, 0x01020304)
    context.datagram = packet_headers.encode_forward(action)


@then(
    'an eight-byte target number precedes the packet, and only the tag differs'
)
def only_tag_differs(context):
    found = bytearray(context.datagram)
    assert found[:8] == context.number.to_bytes(8, 'big')
    assert found[TAG_BYTES] == b'\x04\x03\x02\x01'
    found[TAG_BYTES] = PACKET_HEADER[22:26]
    assert found[8:] == PACKET_HEADER + PAYLOAD


@when('a flow is refused at acknowledgement {number:d}')
def refuse_flow(context, number):
    action = flows.Refuse(
        flow=b'',
        client=Endpoint('203.0.113.9', 40001),
        address=Endpoint('198.51.100.1', 8443),
        sequence=number,
        reason=flows.RefusalReason.NO_ROUTE,
    )
    context.reset = struct.unpack(
        '<IIHIHIHIIBB', packet_headers.encode_reset(action)
    )


@then('the reset has sequence number {number:d}, no data, no checksum and '
      'only the reset flag')  # fmt: skip
def reset_fields(context, number):
    to_client = (0xCB007109, 40001)
    from_address = (0xC6336401, 8443)
    wanted = (number, 0, 0, *to_client, *from_address, 0, 0, 32, 0)
    assert context.reset == wanted, context.reset


@when('{count:d} random datagrams are parsed as packets')
def random_datagrams(context, count):
    rng = random.Random(7)
    context.kinds = set()
    for _ in range(count):
        datagram = rng.randbytes(rng.randrange(0, 80))
        try:
            context.kinds.add(type(packet_headers.read(datagram)).__name__)
        except PacketError:
            context.kinds.add('PacketError')


@then('each yields a segment or a PacketError')
def segment_or_error(context):
    assert context.kinds == {'Segment', 'PacketError'}, context.kinds


def change_document(document, change):
    """Return a copy changed by ``a.0.b = value``, ``no a`` or the like."""
    changed = copy.deepcopy(document)
    words = change.split(' ')
    if change == 'nothing else':
        return changed
    if words[0] == 'no':
        del changed[words[1]]
        return changed
    path, _equals, value = change.partition(' = ')
    *parents, last = path.split('.')
    inner = changed
    for key in parents:
        inner = inner[int(key) if key.isdecimal() else key]
    if value.startswith('"'):
        value = value.strip('"')
    elif value.lstrip('-').isdecimal():
        value = int(value)
    elif value.lstrip('-').replace('.', '', 1).isdecimal():
        value = float(value)
    elif value.startswith('['):
        value = value.strip('[]').split(',')
    inner[int(last) if type(inner) is list else last] = value
    return changed


def read_or_error(read, *arguments):
    """Return the result of ``read``, or the error that it raised."""
    try:
        return read(*arguments)
    except LiftmountError as error:
        return error


@when('the entry of target {name} has {change}')
def entry_changed(context, name, change):
    document = change_document(ENTRY, change)
    context.problems = []
    context.result = read_or_error(
        objects.read_target, name, document, context.problems.append
    )


@when('the configuration has {change}')
def configuration_changed(context, change):
    document = change_document(CONFIGURATION, change)
    context.problems = []
    context.result = read_or_error(
        objects.read_routes, 'main', document, context.problems.append
    )


@then('route {index:d} is left out for {field}, and the other one is read')
def route_left_out(context, index, field):
    (found,) = context.problems
    assert found.field == f'routes[{index}].{field}', found
    (left,) = context.result.routes.values()
    assert left.name == ('one', 'two')[1 - index], left


@then('it is read without {field}, with 2 routes in version 7')
def read_without(context, field):
    (found,) = context.problems
    assert found.field == field, found
    read_with_routes(context, 2, 7)
    if field.startswith('backends'):
        assert not context.result.health_paths, context.result
    if field.startswith('limits'):
        limit_ms = context.result.idle_limit_ms
        assert limit_ms == objects.DEFAULT_IDLE_TIMEOUT_MS, context.result


@then(
    'its first route is served as {kind}, and {count:d} problems are reported'
)
def route_kind(context, kind, count):
    assert len(context.result.routes) == 2, context.result
    first = next(iter(context.result.routes.values()))
    assert first.kind is RouteKind(kind), first
    assert len(context.problems) == count, context.problems


@then('it is read as started at {started_wall_ms:d}')
def read_as_started(context, started_wall_ms):
    assert context.result.started_wall_ms == started_wall_ms, context.result


@then('it is read with number {number:d}')
def read_with_number(context, number):
    assert context.result.number == number, context.result


@then('it is read as draining')
def read_as_draining(context):
    assert context.result.draining, context.result


@then('it is read with {count:d} routes in version {version:d}')
def read_with_routes(context, count, version):
    assert len(context.result.routes) == count, context.result
    assert context.result.version == version, context.result


@then('guide gets {rate} requests per second for {duration_ms:d} ms in slow '
      'start, and the first route allows {regions}')  # fmt: skip
def slow_start_and_regions(context, rate, duration_ms, regions):
    table = context.result
    wanted = {}
    if rate != 'any':
        wanted = {'guide': WarmUp(float(rate), duration_ms)}
    assert table.warm_ups == wanted, table.warm_ups
    first = next(iter(table.routes.values()))
    allowed = set() if regions == 'any' else set(regions.split(', '))
    assert first.regions == allowed, first


@then('a member that pulls it holds the same routes')
def decoded_table_is_equal(context):
    snapshot = Snapshot((), 0, context.result, 3)
    decoded = wire.decode_snapshot(wire.encode_snapshot(snapshot))
    assert decoded.table == context.result, decoded.table


@when('an evacuation of domain {domain} holds {content}')
def evacuation_holds(context, domain, content):
    spec = None if content == 'nothing' else json.loads(content)
    context.result = objects.read_evacuated(domain, spec, None)


@then('domain {domain} is evacuated')
def domain_evacuated(context, domain):
    assert context.result == domain, context.result


@then('it is refused for {field}')
def refused_for(context, field):
    assert isinstance(context.result, StoredObjectError), context.result
    assert context.result.field == field, context.result.field


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(
                [*ENTRY, *CONFIGURATION, *CONFIGURATION['routes'][0]]
                + ['meta', 'spec', 'items', 'events', 'object', 'current_rev']
            ),
            inner,
            max_size=5,
        )
    ),
    max_leaves=20,
)


# Almost valid pages reach code that arbitrary documents do not.
OBJECTS = JSON | strategies.fixed_dictionaries(
    {'meta': JSON | strategies.fixed_dictionaries({'name': JSON})},
    optional={'spec': JSON},
)
PAGES = JSON | strategies.fixed_dictionaries(
    {'current_rev': strategies.integers() | JSON},
    optional={
        'items': strategies.lists(OBJECTS, max_size=3) | JSON,
        'events': strategies.lists(
            JSON | strategies.fixed_dictionaries({'object': OBJECTS}),
            max_size=3,
        ),
    },
)


@when('{count:d} random documents are read as entries, routes and answers')
def random_documents(context, count):
    context.seen = []

    @hypothesis_settings(
        max_examples=count, deadline=None, derandomize=True, database=None
    )
    @given_values(JSON, PAGES)
    def check(document, page):
        report = context.seen.append
        kind = objects.TARGET_KIND
        page = page if type(page) is dict else {}
        for read, *values in (
            (objects.read_target, 'i-1', document),
            (objects.read_routes, 'main', document),
            (documents.read_list, kind, page),
            (documents.read_changes, kind, page, 0),
        ):
            report(read_or_error(read, *values, report))

    check()


@then('each is read, or refused with an error of the project')
def read_or_refused(context):
    # Any other exception fails the previous step.
    kinds = {type(one) for one in context.seen}
    assert StoredObjectError in kinds, kinds
    assert kinds & {Listing, Delta, tuple}, kinds


@when('the settings have {change}')
def settings_changed(context, change):
    document = change_document(SETTINGS, change)
    context.path = str(context.directory / 'settings.toml')
    with open(context.path, 'wb') as stream:
        tomli_w.dump(document, stream)
    context.result = read_or_error(settings.load_settings, context.path)


@then('the settings are read')
def settings_read(context):
    assert context.result.store == Endpoint('127.0.0.1', 3), context.result
    assert context.result.peer == Endpoint('127.0.0.1', 4), context.result
    assert context.result.seeds == (Endpoint('127.0.0.2', 4),), context.result


@then('the settings are refused for {problem}')
def settings_refused(context, problem):
    assert isinstance(context.result, ConfigurationError), context.result
    (found,) = context.result.problems
    assert str(found).startswith(f'{context.path}: {problem}:'), str(found)
