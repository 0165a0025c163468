"""Entry point of ``liftmount``, the operators' command-line tool."""

import argparse
import asyncio
from importlib import import_module
from inspect import cleandoc
import sys

from liftmount._internal.cli.base import STATUS_CONFLICT
from liftmount._internal.cli.base import STATUS_ERROR
from liftmount._internal.cli.base import STATUS_INVALID
from liftmount._internal.cli.base import STATUS_UNAVAILABLE
from liftmount._internal.exceptions import ConfigurationError
from liftmount._internal.exceptions import ConflictError
from liftmount._internal.exceptions import LiftmountError
from liftmount._internal.exceptions import PlatformUnavailableError

COMMANDS = ('template', 'team', 'status', 'target', 'instance', 'flow')
COMMANDS += ('evacuate', 'trace', 'version')


def load_command(name: str):
    """Import the module of a command and return its ``COMMAND``."""
    module = import_module(f'liftmount._internal.commands.{name}')
    return module.COMMAND


def make_parser() -> argparse.ArgumentParser:
    """Return the argument parser with all commands."""
    parser = argparse.ArgumentParser(
        prog='liftmount',
        description='Operate liftmount balancers.',
        epilog='Exit status: 0 success, 1 error, 2 invalid input, 3 changed '
        'by another writer, 4 platform out of reach, 5 not in force.',
    )
    parser.add_argument(
        '--platform',
        metavar='IP:PORT',
        help='addresses of the store, separated by commas',
    )
    parser.add_argument(
        '--settings', metavar='FILE', help='TOML file with a [platform] table'
    )
    parser.add_argument(
        '--output',
        choices=('table', 'json'),
        default='table',
        help='output format',
    )
    commands = parser.add_subparsers(
        dest='command', required=True, metavar='COMMAND'
    )
    for name in COMMANDS:
        command = load_command(name)
        text = cleandoc(command.__doc__)
        subparser = commands.add_parser(
            name,
            help=text.splitlines()[0],
            description=text,
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        command.add_options(subparser)
    return parser


def main(make_store, arguments=None) -> int:
    """Run the tool and return its exit status.

    ``make_store(settings, local_ip)`` returns a StoreClient.
    """
    parser = make_parser()
    parser.set_defaults(make_store=make_store)
    options = parser.parse_args(arguments)
    try:
        return asyncio.run(load_command(options.command).run(options))
    except ConfigurationError as error:
        for problem in error.problems:
            print(f'liftmount: {problem}', file=sys.stderr)
        return STATUS_INVALID
    except ConflictError as error:
        print(f'liftmount: {error}', file=sys.stderr)
        return STATUS_CONFLICT
    except PlatformUnavailableError as error:
        print(f'liftmount: platform out of reach: {error}', file=sys.stderr)
        return STATUS_UNAVAILABLE
    except (LiftmountError, OSError) as error:
        print(f'liftmount: {error}', file=sys.stderr)
        return STATUS_ERROR
