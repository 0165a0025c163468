"""Starts a balancer on the platform: ``python3 -m liftmount.platform``.

The socket for packets is bound before anything else is imported, as the
imports take most of a second on a small instance: what arrives meanwhile
waits in the socket and needn't be sent again.
"""

import gc
import os
import signal
import socket
import sys
import tomllib

SETTINGS_VARIABLE = 'LIFTMOUNT_CONFIG'
SETTINGS_PATH = '/etc/liftmount/settings.toml'


def bind_early(path: str) -> socket.socket | None:
    """Bind the socket for packets; None if the settings are no good.

    What is wrong with them is said later, when they are checked.
    """
    try:
        with open(path, 'rb') as stream:
            address = tomllib.load(stream)['listen']['packets']
        ip, _colon, port = address.rpartition(':')
        bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        bound.bind((ip, int(port)))
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None
    return bound


def start() -> int:
    """Bind, import the rest, and run; return the exit status."""
    # Until it is handled, this signal would end the process; whatever it
    # announces is read when the settings are.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = os.environ.get(SETTINGS_VARIABLE, SETTINGS_PATH)
    bound = bind_early(path)
    # Nothing that is imported is ever collected.
    gc.disable()
    # asyncio loads OpenSSL if it finds it: 5 MB that nothing here needs.
    sys.modules.setdefault('ssl', None)
    from liftmount.platform.daemon import main

    gc.freeze()
    gc.enable()
    return main(path, bound)


if __name__ == '__main__':
    sys.exit(start())
