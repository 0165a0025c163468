"""Starts a balancer on the platform: ``python3 -m liftmount.platform``."""

import gc
import os
import signal
import sys

SETTINGS_VARIABLE = 'LIFTMOUNT_CONFIG'
SETTINGS_PATH = '/etc/liftmount/settings.toml'


def start(bound=None) -> int:
    """Run a balancer; return the exit status.

    ``bound`` is the RawSocket for packets if it is already bound.
    """
    # Packets are served before the event loop can handle signals, whose
    # default action would end the process.  SIGTERM is recorded for the event
    # loop; SIGHUP is ignored, as the settings are read after this.
    stops = []
    signal.signal(signal.SIGTERM, lambda number, _frame: stops.append(number))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Garbage collection during the imports would free nothing.
    gc.disable()
    from liftmount.platform.start import serve

    path = os.environ.get(SETTINGS_VARIABLE, SETTINGS_PATH)
    return serve(path, bound, stops)


if __name__ == '__main__':
    sys.exit(start())
