"""The start of a balancer: packets first, everything else later.

Packets are served before the event loop and the rest are imported, which
takes most of a second on a small instance.
"""

import gc
import sys

from liftmount._internal.exceptions import ConfigurationError
from liftmount._internal.services.early import EarlyServing
from liftmount._internal.services.early import make_early
from liftmount._internal.utils.import_turns import ImportTurns
from liftmount.platform import packet_headers
from liftmount.platform.feeds import SOURCES
from liftmount.platform.initial_lists import InitialList
from liftmount.platform.settings import load_settings

STATUS_USAGE = 2


def serve(path: str, bound=None, stops=()) -> int:
    """Run a balancer with the settings at ``path``; return its status.

    ``bound`` is the RawSocket for packets if it is bound already.  ``stops``
    gets an entry when the process is told to stop.
    """
    try:
        settings = load_settings(path)
    except ConfigurationError as error:
        for problem in error.problems:
            print(f'liftmount: {problem}', file=sys.stderr)
        return STATUS_USAGE
    startup = make_early(settings, packet_headers, bound)
    startup.stops = stops
    lists = {
        feed: InitialList(
            settings.store, startup.clock, kind, read, startup.note_problems
        )
        for feed, (kind, read) in SOURCES.items()
    }
    # asyncio loads OpenSSL if it finds it: 5 MB that nothing here needs.
    sys.modules.setdefault('ssl', None)
    serving = EarlyServing(startup, lists)
    with ImportTurns(serving.turn):
        from liftmount.platform.daemon import main
    serving.turn()
    serving.hand_over()
    # Nothing that is imported is ever collected.
    gc.freeze()
    gc.enable()
    return main(path, startup)
