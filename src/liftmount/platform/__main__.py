"""Starts a balancer on the platform: ``python3 -m liftmount.platform``."""

import gc
import os
import sys

from liftmount.platform.launcher import EarlySignals

SETTINGS_VARIABLE = 'LIFTMOUNT_CONFIG'
SETTINGS_PATH = '/etc/liftmount/settings.toml'


def start(signals, bound=None) -> int:
    """Run a balancer; return the exit status.

    ``signals`` are the launcher's EarlySignals, ``bound`` is the RawSocket
    for packets if it is already bound.
    """
    # Garbage collection during the imports would free nothing.
    gc.disable()
    from liftmount.platform.start import serve

    path = os.environ.get(SETTINGS_VARIABLE, SETTINGS_PATH)
    return serve(path, bound, signals)


if __name__ == '__main__':
    sys.exit(start(EarlySignals()))
