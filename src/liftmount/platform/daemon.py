"""A balancer on the platform: its settings and the parts that translate."""

import asyncio
import os
import socket
import sys

from liftmount._internal.exceptions import ConfigurationError
from liftmount._internal.models.entry_settings import EntrySettings
from liftmount._internal.services.entry import Adapter
from liftmount._internal.services.entry import EntryBalancer
from liftmount.platform import heads
from liftmount.platform.feeds import make_feeds
from liftmount.platform.settings import load_settings

READY_PATH = '/ready'
STATUS_USAGE = 2


def make_adapter(path: str) -> Adapter:
    """Return the adapter for a balancer with the settings at ``path``."""

    def load() -> EntrySettings:
        return load_settings(path)

    def stamp() -> object:
        try:
            return os.stat(path).st_mtime_ns
        except OSError as error:
            return error.errno

    return Adapter(heads, make_feeds, load, stamp, READY_PATH)


def main(path: str, bound: socket.socket | None) -> int:
    """Run a balancer with the settings at ``path``; return its status.

    ``bound`` is its socket for packets, if that is bound already.
    """
    adapter = make_adapter(path)
    try:
        settings = adapter.load()
    except ConfigurationError as error:
        for problem in error.problems:
            print(f'liftmount: {problem}', file=sys.stderr)
        return STATUS_USAGE
    asyncio.run(EntryBalancer(adapter, settings, bound).run())
    return 0
