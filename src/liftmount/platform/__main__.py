"""Starts a balancer on the platform: ``python3 -m liftmount.platform``."""

import gc
import os
import sys

SETTINGS_VARIABLE = 'LIFTMOUNT_CONFIG'
SETTINGS_PATH = '/etc/liftmount/settings.toml'


def start(bound=None, stops=None) -> int:
    """Run a balancer; return the exit status.

    ``bound`` is the RawSocket for packets if it is already bound, ``stops``
    the list of recorded signals if they are already taken over: packets are
    served before the event loop can handle signals.
    """
    if stops is None:
        from liftmount.platform.launcher import take_over_signals

        stops = take_over_signals()
    # Garbage collection during the imports would free nothing.
    gc.disable()
    from liftmount.platform.start import serve

    path = os.environ.get(SETTINGS_VARIABLE, SETTINGS_PATH)
    return serve(path, bound, stops)


if __name__ == '__main__':
    sys.exit(start())
