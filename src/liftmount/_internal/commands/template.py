"""The command ``liftmount template``."""

from liftmount._internal.commands.documents import DocumentCommand
from liftmount._internal.commands.rollout_status import read_rollout_status
from liftmount._internal.models.configuration import parse_template
from liftmount._internal.models.objects import ObjectKind


class TemplateCommand(DocumentCommand):
    """Check, write and show templates, from which teams are made.

    A template lists the services that each of its teams has.
    """

    name = 'template'
    kind = ObjectKind.TEMPLATE

    def parse(self, document, source):
        """Check a template on its own."""
        return parse_template(document, source)

    async def check_rollout(self, store, parsed, version):
        """Tell whether a version is in force on every balancer."""
        return await read_rollout_status(store, version)


COMMAND = TemplateCommand()
