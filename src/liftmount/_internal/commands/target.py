"""The command ``liftmount target``."""

import sys

from attrs import asdict

from liftmount._internal.cli.base import Command
from liftmount._internal.cli.base import open_store
from liftmount._internal.cli.base import STATUS_ERROR
from liftmount._internal.clock import Clock
from liftmount._internal.commands.documents import stored_document
from liftmount._internal.commands.markers import create_marker
from liftmount._internal.commands.markers import delete_marker
from liftmount._internal.models.objects import Drain
from liftmount._internal.models.objects import ObjectKind


class TargetCommand(Command):
    """Drain a target, or end its drain.

    A drained target gets no new requests or streams; its open streams
    move to other targets.
    """

    name = 'target'

    def add_options(self, parser):
        """Add the action and the target, named TEAM/TARGET."""
        parser.add_argument('action', choices=('drain', 'restore'))
        parser.add_argument('target', metavar='TEAM/TARGET')

    async def run(self, options):
        """Create or delete the drain object of the target."""
        store = open_store(options)
        try:
            if not await _target_exists(store, options.target):
                text = f'there is no target {options.target}'
                print(f'liftmount: {text}', file=sys.stderr)
                return STATUS_ERROR
            if options.action == 'drain':
                return await drain(store, options.target)
            return await restore(store, options.target)
        finally:
            store.close()


async def _target_exists(store, name):
    team, _separator, target = name.partition('/')
    key = f'{ObjectKind.TEAM.value}/{team}'
    document = stored_document(await store.get(key)) or {}
    targets = document.get('targets', ())
    return any(entry.get('name') == target for entry in targets)


async def drain(store, name: str) -> int:
    """Create the drain object of a target or an instance."""
    value = asdict(Drain(name, Clock().wall_ms()))
    return await create_marker(store, _drain_key(name), value, 'drained')


async def restore(store, name: str) -> int:
    """Delete the drain object of a target or an instance."""
    return await delete_marker(store, _drain_key(name), 'drained', 'restored')


def _drain_key(name):
    return f'{ObjectKind.DRAIN.value}/{name}'


COMMAND = TargetCommand()
