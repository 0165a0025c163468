"""The command ``liftmount status``."""

import asyncio
from datetime import datetime
from datetime import UTC

from attrs import asdict

from liftmount._internal.cli.base import Command
from liftmount._internal.cli.base import open_store
from liftmount._internal.cli.base import print_rows
from liftmount._internal.cli.base import STATUS_NOT_IN_FORCE
from liftmount._internal.cli.base import STATUS_OK
from liftmount._internal.clock import seconds
from liftmount._internal.models.objects import DISSEMINATED_KINDS
from liftmount._internal.models.objects import Evacuation
from liftmount._internal.models.objects import ObjectKind
from liftmount._internal.store.instances import read_live_domains
from liftmount._internal.store.statuses import read_statuses
from liftmount._internal.utils.documents import structure

WATCH_POLL_MS = 1_000
MS_PER_S = 1_000
IN_FORCE = 'in force'
EMPTY = 'empty'
COLUMNS = (
    'failure_domain',
    'state',
    'holder',
    'epoch',
    'revision',
    'applied',
    'missing',
    'problems',
    'evacuated',
)


class StatusCommand(Command):
    """Show which configuration is in force in each failure domain.

    The state is "in force", "behind" (the domain has not reported the
    newest version), "missing" (the listed balancers do not hold it),
    "silent" (the domain has live balancers but never reported) or "empty"
    (it has no live balancer).  "evacuated" shows when and by whom the
    domain was evacuated.  Exits with 5 unless every domain that has live
    balancers is "in force".
    """

    name = 'status'

    def add_options(self, parser):
        """Add the option to keep watching."""
        parser.add_argument(
            '--watch', action='store_true', help='print on every change'
        )

    async def run(self, options):
        """Print the status, once or on every change."""
        store = open_store(options)
        shown = None
        try:
            while True:
                rows = await _read_rows(store)
                if rows != shown:
                    print_rows(options, COLUMNS, rows)
                    shown = rows
                if not options.watch:
                    break
                await asyncio.sleep(seconds(WATCH_POLL_MS))
        finally:
            store.close()
        states = {row['state'] for row in rows} - {EMPTY}
        return STATUS_OK if states == {IN_FORCE} else STATUS_NOT_IN_FORCE


async def _read_rows(store):
    newest = 0
    for kind in DISSEMINATED_KINDS:
        listing = await store.list(kind.value)
        versions = [item.version for item in listing.items]
        newest = max([newest, *versions])
    statuses = {
        report.failure_domain: report for report in await read_statuses(store)
    }
    domains = await read_live_domains(store)
    evacuated = await _read_evacuations(store)
    rows = []
    for name in sorted(domains | set(statuses)):
        status = statuses.get(name)
        if status is None:
            rows.append({'failure_domain': name, 'state': 'silent'})
            continue
        row = asdict(status)
        row['state'] = _domain_state(status, newest)
        if name not in domains:
            row['state'] = EMPTY
        row['applied'] = len(status.applied)
        row['missing'] = ','.join(status.missing) or '-'
        problems = status.problems.items()
        row['problems'] = (
            '; '.join(f'{key}: {text}' for key, text in problems) or '-'
        )
        row['evacuated'] = evacuated.get(name, '-')
        rows.append(row)
    return rows


async def _read_evacuations(store):
    """Return when and by whom each evacuated domain was evacuated."""
    listing = await store.list(ObjectKind.EVACUATION.value)
    shown = {}
    for item in listing.items:
        evacuation = structure(item.value, Evacuation, item.key)
        since = datetime.fromtimestamp(
            evacuation.asked_wall_ms / MS_PER_S, UTC
        )
        shown[item.name] = f'{since:%Y-%m-%dT%H:%M:%SZ} by {evacuation.writer}'
    return shown


def _domain_state(status, newest):
    if status.revision < newest:
        return 'behind'
    return 'missing' if status.missing else IN_FORCE


COMMAND = StatusCommand()
