"""The command ``liftmount version``."""

from importlib.metadata import version

from liftmount._internal.cli.base import Command
from liftmount._internal.cli.base import print_rows
from liftmount._internal.cli.base import STATUS_OK
from liftmount._internal.models.packets import PROTOCOL_VERSION


class VersionCommand(Command):
    """Print the versions of the tool and of the packet protocol."""

    name = 'version'

    async def run(self, options):
        """Print the versions."""
        row = {'liftmount': version('liftmount')}
        row['protocol'] = PROTOCOL_VERSION
        print_rows(options, ('liftmount', 'protocol'), [row])
        return STATUS_OK


COMMAND = VersionCommand()
