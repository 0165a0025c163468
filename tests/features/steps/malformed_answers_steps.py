"""Steps for answers of the store that hold invalid items."""

import json

from behave import then
from behave import when
import cbor2
from hypothesis import given as given_values
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from liftmount._internal.clock import Clock
from liftmount._internal.exceptions import PlatformError
from liftmount._internal.models import peer_messages as wire
from liftmount._internal.models.addresses import parse_endpoint
from liftmount._internal.models.feeds import Snapshot
from liftmount._internal.models.segments import Route
from liftmount._internal.models.segments import RouteKind
from liftmount._internal.models.segments import RouteTable
from liftmount._internal.models.segments import ServiceShare
from liftmount._internal.services.rejections import RejectedObjects
from liftmount._internal.utils.metrics import Metrics
from liftmount._internal.utils.structured import StructuredLog
from liftmount.platform import documents
from liftmount.platform import objects
from liftmount.platform.feeds import decode_all
from liftmount.platform.feeds import make_unnamed_recorder
from tests.features.steps.adapter_steps import CONFIGURATION
from tests.features.steps.adapter_steps import ENTRY
from tests.features.steps.adapter_steps import JSON
from tests.features.steps.adapter_steps import read_or_error

REVISION = 9
NESTING_DEPTH = 20_000
VALID_ITEM = json.dumps(
    {'meta': {'name': 'i-1', 'revision': 3}, 'spec': ENTRY}
)
INVALID_ITEM = '{"meta": {"name": "i-bad", "revision": 4}, "spec": %s}'
ITEMS = {
    'null': 'null',
    '5': '5',
    'an item without meta': '{"spec": {}}',
    'an item without a name': '{"meta": {"revision": 4}}',
    'a revision that is text': (
        '{"meta": {"name": "i-bad", "revision": "four"}, "spec": {}}'
    ),
    'an entry without fields': INVALID_ITEM % 'null',
    'an entry that is text': INVALID_ITEM % '"me"',
    'an entry of bytes': INVALID_ITEM % '"\udcff\udcfe"',
    'an entry of broken JSON': INVALID_ITEM % '{"state": ready, "x": [1, ]}',
    'an entry nested deeply': INVALID_ITEM
    % ('[' * NESTING_DEPTH + ']' * NESTING_DEPTH),
    'an entry with a line break': INVALID_ITEM % '{"zone": "a\nb"}',
}


class AnswerDecoder:
    """Decodes answers as a feed does; records the rejected objects."""

    def __init__(self):
        self.metrics = Metrics()
        self.rejected_objects = RejectedObjects(
            StructuredLog(Clock()), self.metrics
        )

    def read(self, read, body, *arguments):
        """Read the body of an answer with a function of documents."""
        page = documents.read_document('/objects/servers', body)
        kind = objects.TARGET_KIND
        report = make_unnamed_recorder(self.rejected_objects.record)
        return read(kind, page, *arguments, report)

    def decode(self, stored):
        """Return the decoded entries of targets."""
        return decode_all(
            stored, objects.read_target, self.rejected_objects.record
        )


def body_of(field, items):
    """Return the bytes of an answer; a lone surrogate is an invalid byte."""
    text = f'{{"{field}": [{", ".join(items)}], "current_rev": {REVISION}}}'
    return text.encode(errors='surrogateescape')


@when('a list holds a valid entry and {item}')
def list_holds(context, item):
    context.decoder = AnswerDecoder()
    body = body_of('items', [ITEMS[item], VALID_ITEM])
    listing = context.decoder.read(documents.read_list, body)
    assert listing.revision == REVISION, listing
    context.decoded = context.decoder.decode(listing.items)


@when('a watch returns a valid entry and {item}')
def watch_returns(context, item):
    context.decoder = AnswerDecoder()
    events = [
        f'{{"object": {one}, "tombstone": false}}' if one != 'null' else one
        for one in (ITEMS[item], VALID_ITEM)
    ]
    body = body_of('events', events)
    delta = context.decoder.read(documents.read_changes, body, 0)
    context.decoded = context.decoder.decode(delta.written)


@then('the valid entry is read, and {left_out} is left out')
def valid_entry_is_read(context, left_out):
    assert [one.name for one in context.decoded.accepted] == ['i-1']
    (key,) = context.decoder.rejected_objects.objects
    (field,) = context.decoder.rejected_objects.objects[key].fields
    assert left_out in (key, field), (key, field)


@then('the target of the invalid entry is reported as removed')
def reported_as_removed(context):
    assert context.decoded.rejected == ('i-bad',), context.decoded


@when('a page of a list that continues has no names')
def page_without_names(context):
    pages = documents.ListPages(objects.TARGET_KIND, [].append)
    page = {'items': [None], 'more_pages': True, 'current_rev': REVISION}
    context.result = read_or_error(pages.add, page, 0, 0)


@then('the list is refused, and no object counts as removed')
def list_refused(context):
    assert isinstance(context.result, PlatformError), context.result


@when('an object is refused {first:d} times at revision {one:d} and '
      '{second:d} times at revision {two:d}')  # fmt: skip
def refused_again(context, first, one, second, two):
    context.decoder = AnswerDecoder()
    for revision in [one] * first + [two] * second:
        document = {'meta': {'name': 'i-"x"', 'revision': revision}}
        stored = documents.read_object(objects.TARGET_KIND, document)
        context.decoder.decode([stored])


@then('{count:d} log lines report it, and the metrics name object and field')
def rejections_counted(context, count):
    total = context.decoder.metrics.totals['refused.invalid_object']
    assert total == count, total
    text = context.decoder.rejected_objects.text()
    wanted = 'liftmount_left_out{object="servers/i-\\"x\\"",field=""} 1\n'
    assert text == wanted, text


@when('the object is valid again')
def object_accepted(context):
    meta = {'name': 'i-"x"', 'revision': 6}
    document = {'meta': meta, 'spec': ENTRY}
    stored = documents.read_object(objects.TARGET_KIND, document)
    decode_all(
        [stored],
        lambda *_arguments: stored,
        context.decoder.rejected_objects.record,
    )


@then('the metrics no longer name it')
def not_in_metrics(context):
    assert context.decoder.rejected_objects.text() == ''


@when('a configuration of another name is read')
def other_name(context):
    context.result = read_or_error(
        objects.read_routes, 'other', CONFIGURATION, [].append
    )


@when('a member sends a route of the kind {kind}')
def member_sends_route(context, kind):
    address = parse_endpoint('198.51.100.1:8443')
    route = Route(
        'one', address, RouteKind.UPLOAD, (ServiceShare('guide', 1),), 0, 0
    )
    table = RouteTable(7, {address: route}, {}, 15_000)
    data = wire.encode_snapshot(Snapshot((), 0, table, 3))
    document = cbor2.loads(wire.zlib.decompress(data))
    document[2][1][0][2] = kind
    encoded = wire.zlib.compress(cbor2.dumps(document))
    context.decoded_table = wire.decode_snapshot(encoded).table


@then('it is served as {kind}')
def served_as(context, kind):
    (route,) = context.decoded_table.routes.values()
    assert route.kind is RouteKind(kind), route


@when('{count:d} lists hold valid entries among random items')
def random_items(context, count):
    context.lists = 0
    valid_json = strategies.builds(json.dumps, JSON)
    # Without brackets and quotes: an unclosed one would make the start of
    # the next item ambiguous.
    invalid_json = strategies.text('abc 0:+-.\udcff\n', min_size=1, max_size=9)
    item = (
        valid_json
        | invalid_json
        | strategies.sampled_from(list(ITEMS.values()))
    )

    @hypothesis_settings(
        max_examples=count, deadline=None, derandomize=True, database=None
    )
    @given_values(strategies.lists(item, max_size=4))
    def check(others):
        body = body_of('items', [*others, VALID_ITEM, *others])
        decoder = AnswerDecoder()
        listing = decoder.read(documents.read_list, body)
        names = [one.name for one in decoder.decode(listing.items).accepted]
        assert names == ['i-1'], names
        context.lists += 1

    check()


@then('each valid entry is read')
def valid_entries_are_read(context):
    # An entry that is not read fails the previous step.
    assert context.lists > 0
