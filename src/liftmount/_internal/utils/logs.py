"""Set-up of logging: one line a record, with the part as prefix."""

import logging
import sys

FORMAT = '%(asctime)s %(levelname)s %(name)s: %(message)s'


def set_up_logging(level: str) -> None:
    """Log to standard error from ``level`` on."""
    logging.basicConfig(
        stream=sys.stderr,
        level=level.upper(),
        format=FORMAT,
    )
    # The libraries report each connection; the services do it better.
    for name in ('websockets', 'aiohttp', 'asyncio'):
        logging.getLogger(name).setLevel(logging.ERROR)
