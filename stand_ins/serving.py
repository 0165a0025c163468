"""Control server and command line of stand-ins that inject faults."""

import argparse
import asyncio
import json

from aiohttp import web

from liftmount._internal.models.addresses import parse_endpoint


async def serve_control(name: str, address: str, set_faults) -> None:
    """Serve ``POST /set`` at an address; print readiness, then wait."""
    app = web.Application()
    app.add_routes([web.post('/set', set_faults)])
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    control = parse_endpoint(address)
    await web.TCPSite(runner, control.ip, control.port).start()
    print(json.dumps({'ready': name}), flush=True)
    await asyncio.Event().wait()


def run_program(description: str, options: dict[str, str], serve) -> None:
    """Parse the command line and run ``serve(options)`` until interrupted.

    ``options`` maps names of required options to their metavars.
    """
    parser = argparse.ArgumentParser(description=description)
    for name, metavar in {'--control': 'IP:PORT', **options}.items():
        parser.add_argument(name, required=True, metavar=metavar)
    parser.add_argument('--seed', type=int, default=1)
    try:
        asyncio.run(serve(parser.parse_args()))
    except KeyboardInterrupt:
        pass
