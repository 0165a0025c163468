"""Base of the tool's commands, their output and exit statuses."""

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
from liftmount._internal.store.interface import ObjectStore
from liftmount._internal.utils.documents import read_toml
from liftmount._internal.utils.documents import structure

STATUS_OK = 0
STATUS_ERROR = 1
STATUS_INVALID = 2
STATUS_CONFLICT = 3
STATUS_UNAVAILABLE = 4
STATUS_NOT_IN_FORCE = 5
PLATFORM_VARIABLE = 'LIFTMOUNT_PLATFORM'
# Calls may come from any address of the host.
ANY_IP = ''


@frozen
class ToolSettings:
    """Settings file of the tool."""

    platform: PlatformSettings


class Command:
    """One command; its docstring is its help.

    ``name`` is the word on the command line.
    """

    name = ''

    def add_options(self, parser: ArgumentParser) -> None:
        """Add the command's own arguments."""

    async def run(self, options: Namespace) -> int:
        """Run the command; return its exit status."""
        raise NotImplementedError


def open_store(options: Namespace) -> ObjectStore:
    """Return a client of the store that the options name."""
    return options.make_store(_platform_settings(options), ANY_IP)


def _platform_settings(options):
    if options.settings:
        path = Path(options.settings)
        tool = structure(read_toml(path), ToolSettings, str(path))
        return tool.platform
    text = options.platform or os.environ.get(PLATFORM_VARIABLE, '')
    addresses = [
        parse_address_option('--platform', one)
        for one in text.split(',')
        if one
    ]
    if not addresses:
        message = f'name the platform by --platform or ${PLATFORM_VARIABLE}'
        raise ConfigurationError(
            [Problem('command line', '--platform', "''", message)]
        )
    return PlatformSettings(addresses=addresses)


def parse_address_option(name: str, text: str) -> Endpoint:
    """Read an address from the command line; raises ConfigurationError."""
    try:
        return parse_endpoint(text)
    except ValueError as error:
        problem = Problem('command line', name, repr(text), str(error))
        raise ConfigurationError([problem]) from error


def print_rows(options: Namespace, columns, rows) -> None:
    """Print rows (dicts with the columns as keys) as table or JSON."""
    if options.output == 'json':
        print(json.dumps(rows, indent=2))
        return
    cells = [[str(row.get(one, '')) for one in columns] for row in rows]
    titles = [one.replace('_', ' ').upper() for one in columns]
    widths = [
        max(len(line[index]) for line in [titles, *cells])
        for index in range(len(columns))
    ]
    for line in [titles, *cells]:
        padded = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        print('  '.join(padded).rstrip())
