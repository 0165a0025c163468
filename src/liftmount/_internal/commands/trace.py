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

# Time before a client's first line and after its last one from which other
# lines are shown; it covers target failure detection and client timeouts.
CONTEXT_MS = 5_000
# Events that explain why a balancer did not serve or had stale state.
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
    """A line of a structured log; ``source`` is the path of the log."""

    source: str
    at_ms: int
    part: str
    event: str
    fields: dict

    def row(self) -> dict:
        """Return the line as a row of the output, keyed by column."""
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
    """Return the structured lines of a log.

    Lines that are not JSON, such as tracebacks, are skipped.
    """
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
    """Return the lines relevant to a client's flows, in order of time.

    These are the lines about the client, about the targets of its flows,
    and the ``BALANCER_EVENTS``, from ``CONTEXT_MS`` before the client's
    first line to ``CONTEXT_MS`` after its last one.  The list is empty if
    no line names the client.
    """
    client_lines = [
        line for line in lines if line.fields.get('client') == client
    ]
    if not client_lines:
        return []
    targets = {line.fields.get('target') for line in client_lines} - {None, ''}
    first_ms = min(line.at_ms for line in client_lines) - CONTEXT_MS
    last_ms = max(line.at_ms for line in client_lines) + CONTEXT_MS
    found = [
        line
        for line in lines
        if first_ms <= line.at_ms <= last_ms
        and _is_relevant(line, client, targets)
    ]
    return sorted(found, key=lambda line: line.at_ms)


def _is_relevant(line, client, targets):
    line_client = line.fields.get('client')
    if line_client is not None:
        return line_client == client
    if line.fields.get('target') in targets:
        return True
    return line.event in BALANCER_EVENTS


class TraceCommand(Command):
    """Show the log lines about a client's flows, in order of time.

    Takes the client's address and the logs of all balancers of its
    failure domain.  Also shows events of the flows' targets and events
    that explain why balancers did not serve, from five seconds before the
    client's first line to five seconds after its last one.
    docs/OPERATIONS.md explains the output.  Exits with 1 if no line names
    the client.
    """

    name = 'trace'

    def add_options(self, parser):
        """Add the client address and the log files."""
        parser.add_argument('client', metavar='CLIENT-IP:PORT')
        parser.add_argument('logs', nargs='+', type=Path, metavar='LOG')

    async def run(self, options):
        """Print the relevant lines."""
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
