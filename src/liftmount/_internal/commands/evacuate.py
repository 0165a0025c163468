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
    """Evacuate a failure domain, or end its evacuation.

    Targets in an evacuated domain get no new requests or streams; open
    streams continue.  ``liftmount status`` shows when and by whom a
    domain was evacuated, and whether the change is in force.
    """

    name = 'evacuate'

    def add_options(self, parser):
        """Add the domain and the option to end its evacuation."""
        parser.add_argument('domain', metavar='DOMAIN')
        parser.add_argument(
            '--return',
            action='store_true',
            dest='is_return',
            help='end the evacuation',
        )

    async def run(self, options):
        """Create or delete the evacuation object of the domain."""
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
    """Return the failure domains that have targets or live balancers."""
    domains = await read_live_domains(store)
    teams = await store.list(ObjectKind.TEAM.value)
    for item in teams.items:
        document = stored_document(item) or {}
        for target in document.get('targets', ()):
            domains.add(target.get('failure_domain'))
    return domains


COMMAND = EvacuateCommand()
