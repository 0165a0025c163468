"""Steps on the reader of a store."""

import asyncio

from attrs import define
from attrs import Factory
from behave import given
from behave import then
from behave import when

from liftmount._internal.exceptions import HistoryGoneError
from liftmount._internal.models.feeds import Delta
from liftmount._internal.models.feeds import Listing
from liftmount._internal.models.feeds import StoredObject
from liftmount._internal.store.reader import ObjectReader

TEAM = 'team'
BASE = 5
WAIT_MS = 10


@define
class FakeStore:
    """A store whose answers are set by the steps."""

    listings: dict = Factory(dict)
    delta: Delta | None = None

    async def list(self, kind):
        """Return the list of a kind, by default an empty one."""
        return self.listings.get(kind, Listing((), BASE))

    async def watch(self, kind, revision, wait_ms):
        """Return the changes that a step has set."""
        if self.delta is None:
            raise HistoryGoneError(kind)
        return self.delta


def read_objects(text):
    """Return the objects of ``a at 3, b at 4 and c at 8``."""
    objects = []
    for part in text.replace(' and ', ', ').split(', '):
        name, _at, version = part.partition(' at ')
        objects.append(StoredObject(f'team/{name}', int(version), {}))
    return tuple(objects)


@given('a reader that holds team/a at version 3 and team/b at version 4')
def reader(context):
    held = {one.key: one for one in read_objects('a at 3 and b at 4')}
    context.store = FakeStore()
    context.delivered = []
    context.reader = ObjectReader(
        context.store,
        lambda: held,
        lambda objects, _source: context.delivered.extend(objects),
    )


@when('a list at revision {revision:d} holds {objects}')
def list_holds(context, revision, objects):
    listing = Listing(read_objects(objects), revision)
    context.store.listings[TEAM] = listing
    asyncio.run(context.reader.list_all())


@when('a watch up to revision {revision:d} brings {what}')
def watch_brings(context, revision, what):
    unchanged = Listing(read_objects('a at 3 and b at 4'), BASE)
    context.store.listings[TEAM] = unchanged
    asyncio.run(context.reader.list_all())
    if what.startswith('the deletion of '):
        removed = (what.removeprefix('the deletion of '),)
        context.store.delta = Delta((), removed, revision, BASE)
    else:
        written = read_objects(what)
        context.store.delta = Delta(written, (), revision, BASE)
    asyncio.run(context.reader.watch(TEAM, WAIT_MS))


@when('a watch finds that the history is gone')
def history_gone(context):
    assert context.reader.may_watch(TEAM)
    try:
        asyncio.run(context.reader.watch(TEAM, WAIT_MS))
    except HistoryGoneError:
        return
    raise AssertionError('the watch did not raise HistoryGoneError')


@then('it may not watch until it has listed')
def may_not_watch(context):
    assert not context.reader.may_watch(TEAM)
    asyncio.run(context.reader.list_all())
    assert context.reader.may_watch(TEAM)


@when('the instance list holds lm-1, and an entry without a state')
def instance_list(context):
    entry = {'failure_domain': 'a', 'role': 'balancer'}
    items = (
        StoredObject('instance/bad', 7, entry),
        StoredObject('instance/lm-1', 8, {**entry, 'state': 'live'}),
    )
    context.store.listings['instance'] = Listing(items, 9)
    asyncio.run(context.reader.read_instances())


@then('the only instance is lm-1')
def only_instance(context):
    assert list(context.reader.instances) == ['lm-1']
    assert [one.key for one in context.delivered] == ['instance/lm-1']


@then('it delivers {text}')
def delivers(context, text):
    found = [
        f'{"no " if one.value is None else ""}{one.key} at {one.version}'
        for one in context.delivered
    ]
    assert found == ([] if text == 'nothing' else [text]), found
