"""A balancer on the platform, with its settings and the adapter."""

import asyncio

from liftmount._internal.models.entry_settings import EntrySettings
from liftmount._internal.services.entry import Adapter
from liftmount._internal.services.entry import EntryBalancer
from liftmount._internal.services.startup import StartupContext
from liftmount.platform.settings import load_settings
from liftmount.platform.settings import read_stamp
from liftmount.platform.store_feed import make_feeds
from liftmount.platform.store_feed import make_probe

READY_PATH = '/ready'


def make_adapter(path: str) -> Adapter:
    """Return the adapter for a balancer with the settings at ``path``."""

    def load() -> EntrySettings:
        return load_settings(path)

    def stamp() -> object:
        return read_stamp(path)

    return Adapter(make_feeds, make_probe, load, stamp, READY_PATH)


def main(path: str, startup: StartupContext) -> int:
    """Run a balancer with the settings at ``path``; return its exit status.

    ``startup`` is the context that already serves packets.
    """
    asyncio.run(EntryBalancer(make_adapter(path), startup).run())
    # Imported late, to keep the startup short.
    from liftmount._internal.utils.process_end import log_end

    log_end(startup.log, startup.clock)
    return 0
