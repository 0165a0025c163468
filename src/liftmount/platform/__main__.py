"""Starts a balancer on the platform: ``python3 -m liftmount.platform``.

SIGHUP ends it until ``runpy`` and ``site`` have run, which ``launcher``
does without when it is started by its path.
"""

import sys

from liftmount.platform.launcher import EarlySignals
from liftmount.platform.launcher import start

if __name__ == '__main__':
    with EarlySignals() as signals:
        sys.exit(start(signals))
