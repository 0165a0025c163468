"""The command ``liftmount instance``."""

from attrs import asdict

from liftmount._internal.cli.base import Command
from liftmount._internal.cli.base import open_store
from liftmount._internal.cli.base import print_rows
from liftmount._internal.cli.base import STATUS_OK
from liftmount._internal.commands.target import drain
from liftmount._internal.commands.target import restore
from liftmount._internal.store.instances import read_instances


class InstanceCommand(Command):
    """List the platform's instances, or drain a balancer instance.

    A drained balancer accepts no new flows and asks clients to move; stop
    it afterwards with SIGTERM.
    """

    name = 'instance'

    def add_options(self, parser):
        """Add the actions."""
        actions = parser.add_subparsers(
            dest='action', required=True, metavar='ACTION'
        )
        actions.add_parser('list', help='list the instances')
        for name in ('drain', 'restore'):
            action = actions.add_parser(name, help=f'{name} an instance')
            action.add_argument('instance', metavar='NAME')

    async def run(self, options):
        """Run the selected action."""
        store = open_store(options)
        try:
            if options.action == 'drain':
                return await drain(store, options.instance)
            if options.action == 'restore':
                return await restore(store, options.instance)
            rows = [asdict(entry) for entry in await read_instances(store)]
            rows.sort(key=lambda row: row['name'])
            columns = ('name', 'failure_domain', 'role', 'state')
            print_rows(options, columns, rows)
            return STATUS_OK
        finally:
            store.close()


COMMAND = InstanceCommand()
