"""The command ``liftmount evacuate``."""

import getpass
import sys

from attrs import asdict

from liftmount._internal.cli.base import Command
from liftmount._internal.cli.base import open_store
from liftmount._internal.cli.base import STATUS_ERROR
from liftmount._internal.clock import Clock
from liftmount._internal.commands.documents import stored_document
from liftmount._internal.commands.markers import create_marker
from liftmount._internal.commands.markers import delete_marker
from liftmount._internal.models.objects import Evacuation
from liftmount._internal.models.objects import ObjectKind
from liftmount._internal.store.instances import read_live_domains


class EvacuateCommand(Command):
    """Evacuate a failure domain, or take it back.

    The targets of an evacuated domain get no new requests and streams;
    streams that are open there go on.  ``liftmount status`` shows since
    when a domain is evacuated, by whom, and whether that is in force.
    """

    name = 'evacuate'

    def add_options(self, parser):
        """Add the domain, and the way back."""
        parser.add_argument('domain', metavar='DOMAIN')
        parser.add_argument(
            '--return',
            action='store_true',
            dest='is_return',
            help='give work to its targets again',
        )

    async def run(self, options):
        """Write or delete the object that evacuates the domain."""
        store = open_store(options)
        key = f'{ObjectKind.EVACUATION.value}/{options.domain}'
        try:
            if options.is_return:
                return await delete_marker(
                    store, key, 'evacuated', 'taken back'
                )
            if options.domain not in await _find_domains(store):
                text = f'there is no failure domain {options.domain}'
                print(f'liftmount: {text}', file=sys.stderr)
                return STATUS_ERROR
            value = asdict(Evacuation(getpass.getuser(), Clock().wall_ms()))
            return await create_marker(store, key, value, 'evacuated')
        finally:
            store.close()


async def _find_domains(store):
    """Return the domains that have targets or live balancers."""
    domains = await read_live_domains(store)
    teams = await store.list(ObjectKind.TEAM.value)
    for item in teams.items:
        document = stored_document(item) or {}
        for target in document.get('targets', ()):
            domains.add(target.get('failure_domain'))
    return domains


COMMAND = EvacuateCommand()
