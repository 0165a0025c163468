"""Logging setup: one line per record, prefixed by the logger's name."""

import logging
import sys

FORMAT = '%(asctime)s %(levelname)s %(name)s: %(message)s'


def set_up_logging(level: str) -> None:
    """Log to standard error at ``level`` and above."""
    logging.basicConfig(
        stream=sys.stderr,
        level=level.upper(),
        format=FORMAT,
    )
    # These libraries log each connection, as the services do.
    for name in ('websockets', 'aiohttp', 'asyncio'):
        logging.getLogger(name).setLevel(logging.ERROR)
