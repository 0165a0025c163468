"""The command ``liftmount flow``."""

import asyncio
import json
import sys

from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from liftmount._internal.cli.base import Command
from liftmount._internal.cli.base import parse_address_option
from liftmount._internal.cli.base import STATUS_ERROR
from liftmount._internal.cli.base import STATUS_OK
from liftmount._internal.clock import seconds
from liftmount._internal.network import control_frames as frames

ANSWER_TIMEOUT_MS = 3_000


class FlowCommand(Command):
    """Query a balancer over its control address.

    "explain" shows which balancer owns a service address and, if it is the
    queried one, which target a new flow would get.  "inspect" shows the
    balancer's flows, pools, counters, versions and members.
    """

    name = 'flow'

    def add_options(self, parser):
        """Add the actions."""
        actions = parser.add_subparsers(
            dest='action', required=True, metavar='ACTION'
        )
        explain = actions.add_parser(
            'explain', help='show where a new flow would go'
        )
        explain.add_argument('address', metavar='SERVICE-IP:PORT')
        inspect = actions.add_parser(
            'inspect', help='show the state of a balancer'
        )
        for action in (explain, inspect):
            action.add_argument(
                '--control',
                required=True,
                metavar='IP:PORT',
                help='control address of the balancer',
            )

    async def run(self, options):
        """Query the balancer and print its answer."""
        subject = 'instance'
        argument = ''
        if options.action == 'explain':
            subject = 'flow'
            address = parse_address_option('SERVICE-IP:PORT', options.address)
            argument = str(address)
        control = parse_address_option('--control', options.control)
        try:
            document = await inspect_balancer(control, subject, argument)
        except (TimeoutError, OSError, WebSocketException) as error:
            text = f'{control} gave no answer: {error!r}'
            print(f'liftmount: {text}', file=sys.stderr)
            return STATUS_ERROR
        shown = document['data'] if subject == 'flow' else document
        print(json.dumps(shown, indent=2, sort_keys=True))
        return STATUS_OK


async def inspect_balancer(control, subject: str, argument: str = '') -> dict:
    """Return the answer of the balancer at ``control``.

    ``subject`` is 'flow', with a service address as the argument, or
    'instance'.  Raises TimeoutError, OSError or WebSocketException if
    there is no answer.
    """
    request = frames.InspectRequest(subject, argument)
    async with asyncio.timeout(seconds(ANSWER_TIMEOUT_MS)):
        async with connect(
            f'ws://{control}/', compression=None, proxy=None
        ) as socket:
            await socket.send(frames.CODEC.encode(request))
            answer = frames.CODEC.decode(await socket.recv())
    return answer.document


COMMAND = FlowCommand()
