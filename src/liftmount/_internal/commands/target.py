"""The command ``liftmount target``."""

import sys

from attrs import asdict

from liftmount._internal.cli.base import Command
from liftmount._internal.cli.base import open_store
from liftmount._internal.cli.base import STATUS_ERROR
from liftmount._internal.cli.base import STATUS_OK
from liftmount._internal.clock import Clock
from liftmount._internal.commands.documents import stored_document
from liftmount._internal.models.objects import Drain
from liftmount._internal.models.objects import ObjectKind
from liftmount._internal.store.writing import write_and_resolve


class TargetCommand(Command):
    """Drain a target, or let it work again.

    A drained target gets no new work; its streams are moved to others.
    A target is named TEAM/TARGET.
    """

    name = 'target'

    def add_options(self, parser):
        """Add the action and the target."""
        parser.add_argument('action', choices=('drain', 'restore'))
        parser.add_argument('target', metavar='TEAM/TARGET')

    async def run(self, options):
        """Write or delete the object that drains the target."""
        store = open_store(options)
        try:
            if not await _exists(store, options.target):
                text = f'there is no target {options.target}'
                print(f'liftmount: {text}', file=sys.stderr)
                return STATUS_ERROR
            if options.action == 'drain':
                return await drain(store, options.target)
            return await restore(store, options.target)
        finally:
            store.close()


async def _exists(store, name):
    team, _separator, target = name.partition('/')
    key = f'{ObjectKind.TEAM.value}/{team}'
    document = stored_document(await store.get(key)) or {}
    targets = document.get('targets', ())
    return any(one.get('name') == target for one in targets)


async def drain(store, name: str) -> int:
    """Write the object that drains a target or an instance."""
    key = f'{ObjectKind.DRAIN.value}/{name}'
    found = await store.get(key)
    if found is not None:
        print(f'{name}: is drained already.')
        return STATUS_OK
    value = asdict(Drain(name, Clock().wall_ms()))
    version = await write_and_resolve(store, key, value, 0)
    print(f'{name}: drained by version {version}.')
    return STATUS_OK


async def restore(store, name: str) -> int:
    """Delete the object that drains a target or an instance."""
    key = f'{ObjectKind.DRAIN.value}/{name}'
    found = await store.get(key)
    if found is None:
        print(f'{name}: is not drained.')
        return STATUS_OK
    await store.delete(key, found.version)
    print(f'{name}: restored.')
    return STATUS_OK


COMMAND = TargetCommand()
