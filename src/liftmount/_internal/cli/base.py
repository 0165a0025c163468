"""Base class of the tool's commands, exit statuses, options and output."""

from argparse import ArgumentParser
from argparse import Namespace
import json
import os
from pathlib import Path

from attrs import frozen

from liftmount._internal.exceptions import ConfigurationError
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.addresses import parse_endpoint
from liftmount._internal.models.problems import Problem
from liftmount._internal.models.settings import PlatformSettings
from liftmount._internal.store.interface import StoreClient
from liftmount._internal.utils.documents import read_toml
from liftmount._internal.utils.documents import structure

STATUS_OK = 0
STATUS_ERROR = 1
STATUS_INVALID = 2
STATUS_CONFLICT = 3
STATUS_UNAVAILABLE = 4
STATUS_NOT_IN_FORCE = 5
PLATFORM_VARIABLE = 'LIFTMOUNT_PLATFORM'
# Local address of calls to the store; the empty string lets the OS choose.
ANY_IP = ''


@frozen
class ToolSettings:
    """Contents of the file given by ``--settings``."""

    platform: PlatformSettings


class Command:
    """Base class of a subcommand of ``liftmount``.

    ``name`` is the subcommand's name.  The docstring of a subclass is its
    help text; the first line is the summary in the list of commands.
    """

    name = ''

    def add_options(self, parser: ArgumentParser) -> None:
        """Add the command's arguments to its parser."""

    async def run(self, options: Namespace) -> int:
        """Run the command and return its exit status."""
        raise NotImplementedError


def open_store(options: Namespace) -> StoreClient:
    """Return a client of the store named by the options.

    Raises ConfigurationError if no address or an invalid one is given.
    """
    return options.make_store(_platform_settings(options), ANY_IP)


def _platform_settings(options):
    if options.settings:
        path = Path(options.settings)
        tool = structure(read_toml(path), ToolSettings, str(path))
        return tool.platform
    text = options.platform or os.environ.get(PLATFORM_VARIABLE, '')
    addresses = [
        parse_address_option('--platform', part)
        for part in text.split(',')
        if part
    ]
    if not addresses:
        message = f'set --platform or ${PLATFORM_VARIABLE}'
        raise ConfigurationError(
            [Problem('command line', '--platform', "''", message)]
        )
    return PlatformSettings(addresses=addresses)


def parse_address_option(name: str, text: str) -> Endpoint:
    """Parse the ``IP:PORT`` value of an option or argument.

    Raises ConfigurationError with ``name`` as the key of the problem.
    """
    try:
        return parse_endpoint(text)
    except ValueError as error:
        problem = Problem('command line', name, repr(text), str(error))
        raise ConfigurationError([problem]) from error


def print_rows(options: Namespace, columns, rows) -> None:
    """Print rows, dicts keyed by column, as a table or as JSON.

    The table has only ``columns``; JSON has all keys of the rows.
    """
    if options.output == 'json':
        print(json.dumps(rows, indent=2))
        return
    cells = [[str(row.get(column, '')) for column in columns] for row in rows]
    titles = [column.replace('_', ' ').upper() for column in columns]
    widths = [
        max(len(line[index]) for line in [titles, *cells])
        for index in range(len(columns))
    ]
    for line in [titles, *cells]:
        padded = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        print('  '.join(padded).rstrip())
