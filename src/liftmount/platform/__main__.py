"""Starts a balancer on the platform: ``python3 -m liftmount.platform``."""

import gc
import os
import signal
import sys

SETTINGS_VARIABLE = 'LIFTMOUNT_CONFIG'
SETTINGS_PATH = '/etc/liftmount/settings.toml'


def start(bound=None) -> int:
    """Run a balancer; return the exit status.

    ``bound`` is the RawSocket for packets if it is bound already.
    """
    # Until it is handled, this signal would end the process; whatever it
    # announces is read when the settings are.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # A collection during the imports would find nothing.
    gc.disable()
    from liftmount.platform.start import serve

    return serve(os.environ.get(SETTINGS_VARIABLE, SETTINGS_PATH), bound)


if __name__ == '__main__':
    sys.exit(start())
