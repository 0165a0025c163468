"""The command ``liftmount template``."""

from liftmount._internal.commands.documents import DocumentCommand
from liftmount._internal.commands.rollout_status import read_rollout_status
from liftmount._internal.models.configuration import parse_template
from liftmount._internal.models.objects import ObjectKind


class TemplateCommand(DocumentCommand):
    """Check, write and show templates of teams.

    A template lists the services of every team that uses it.
    """

    name = 'template'
    kind = ObjectKind.TEMPLATE

    def parse(self, document, source):
        """Parse a template; raises ConfigurationError if it is invalid."""
        return parse_template(document, source)

    async def check_rollout(self, store, parsed, version):
        """Return whether every balancer has applied a version."""
        return await read_rollout_status(store, version)


COMMAND = TemplateCommand()
