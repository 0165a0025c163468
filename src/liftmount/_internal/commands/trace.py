"""The command ``liftmount trace``."""

import json
from pathlib import Path
import sys

from attrs import frozen

from liftmount._internal.cli.base import Command
from liftmount._internal.cli.base import parse_address_option
from liftmount._internal.cli.base import print_rows
from liftmount._internal.cli.base import STATUS_ERROR
from liftmount._internal.cli.base import STATUS_OK

# How long before a flow's first line and after its last one other lines may
# bear on it: a target is found dead about a second after it fell silent,
# and a client gives up within some seconds.
CONTEXT_MS = 5_000
# Events that say why a balancer took no packets, or knew too little.
BALANCER_EVENTS = frozenset(
    (
        'start',
        'stopping',
        'stop',
        'ready',
        'not_ready',
        'store_lost',
        'store_regained',
        'reading',
        'handed_over',
        'taken_back',
        'lines_lost',
    )
)
HIDDEN_FIELDS = frozenset(('at_ms', 'part', 'event'))


@frozen
class LogLine:
    """A line of a balancer's log; ``source`` is its path."""

    source: str
    at_ms: int
    part: str
    event: str
    fields: dict

    def row(self) -> dict:
        """Return the line as a row of the output."""
        about = ' '.join(
            f'{key}={value}'
            for key, value in self.fields.items()
            if key not in HIDDEN_FIELDS and value != ''
        )
        return {
            'at_ms': self.at_ms,
            'log': self.source,
            'part': self.part,
            'event': self.event,
            'about': about,
        }


def read_lines(path: Path) -> list[LogLine]:
    """Return the lines of a log; others, as of a crash, are passed over."""
    lines = []
    with path.open(encoding='utf-8', errors='replace') as stream:
        for text in stream:
            try:
                fields = json.loads(text)
                line = LogLine(
                    str(path),
                    int(fields['at_ms']),
                    str(fields['part']),
                    str(fields['event']),
                    fields,
                )
            except (ValueError, KeyError, TypeError):
                continue
            lines.append(line)
    return lines


def trace(lines: list[LogLine], client: str) -> list[LogLine]:
    """Return what bears on the flows of a client, in order of time.

    That is each line about them, those about the targets they went to,
    and those on why a balancer took no packets, from shortly before to
    shortly after.  Nothing is returned for a client that no line names.
    """
    own = [line for line in lines if line.fields.get('client') == client]
    if not own:
        return []
    targets = {line.fields.get('target') for line in own} - {None, ''}
    first_ms = min(line.at_ms for line in own) - CONTEXT_MS
    last_ms = max(line.at_ms for line in own) + CONTEXT_MS
    found = [
        line
        for line in lines
        if first_ms <= line.at_ms <= last_ms
        and _is_relevant(line, client, targets)
    ]
    return sorted(found, key=lambda line: line.at_ms)


def _is_relevant(line, client, targets):
    about = line.fields.get('client')
    if about is not None:
        return about == client
    if line.fields.get('target') in targets:
        return True
    return line.event in BALANCER_EVENTS


class TraceCommand(Command):
    """Gather what the logs say of a client's flows, in order of time.

    Takes the client's address and the logs of all balancers of its
    failure domain.  Beside the flows themselves it shows what happened to
    their targets and why balancers took no packets, from five seconds
    before to five seconds after.  docs/OPERATIONS.md tells how to read it.
    Exits with 1 if no line names the client.
    """

    name = 'trace'

    def add_options(self, parser):
        """Add the client and the logs."""
        parser.add_argument('client', metavar='CLIENT-IP:PORT')
        parser.add_argument('logs', nargs='+', type=Path, metavar='LOG')

    async def run(self, options):
        """Print the lines."""
        client = str(parse_address_option('CLIENT-IP:PORT', options.client))
        lines = []
        for path in options.logs:
            lines += read_lines(path)
        found = trace(lines, client)
        if not found:
            text = f'no line of {len(lines)} names the client {client}'
            print(f'liftmount: {text}', file=sys.stderr)
            return STATUS_ERROR
        columns = ('at_ms', 'log', 'part', 'event', 'about')
        print_rows(options, columns, [line.row() for line in found])
        return STATUS_OK


COMMAND = TraceCommand()
