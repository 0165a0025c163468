"""The start of a balancer: packets first, everything else later.

Packets are served while the event loop and the other modules are imported,
which takes long on a small instance.
"""

import gc
import sys

from liftmount._internal.exceptions import ConfigurationError
from liftmount._internal.services.startup import create_startup_context
from liftmount._internal.services.startup import StartupLoop
from liftmount._internal.utils.import_hook import ImportHook
from liftmount.platform import packet_headers
from liftmount.platform.feeds import SOURCES
from liftmount.platform.initial_lists import InitialList
from liftmount.platform.settings import load_settings
from liftmount.platform.settings import read_stamp

STATUS_USAGE = 2


def serve(path: str, bound, signals) -> int:
    """Run a balancer with the settings at ``path``; return its exit status.

    ``bound`` is the RawSocket for packets if it is already bound, else None;
    ``signals`` are the launcher's EarlySignals.
    """
    # Before the settings are read, so that a change from then on shows.
    stamp = read_stamp(path)
    try:
        settings = load_settings(path)
    except ConfigurationError as error:
        for problem in error.problems:
            print(f'liftmount: {problem}', file=sys.stderr)
        return STATUS_USAGE
    startup = create_startup_context(
        settings, packet_headers, bound, signals.processor_ms
    )
    startup.stop_signals = signals.stops
    startup.settings_stamp = stamp
    lists = {
        feed: InitialList(
            settings.store, startup.clock, kind, read, startup.record_problems
        )
        for feed, (kind, read) in SOURCES.items()
    }
    # Keeps asyncio from loading OpenSSL, which is not used.
    sys.modules.setdefault('ssl', None)
    serving = StartupLoop(startup, lists)
    with ImportHook(serving.run_once):
        from liftmount.platform.daemon import main
    serving.run_once()
    serving.release_pending_lists()
    # Excludes imported modules from garbage collection: they stay loaded.
    gc.freeze()
    gc.enable()
    return main(path, startup)
