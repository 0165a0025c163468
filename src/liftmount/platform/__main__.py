"""Starts a balancer on the platform: ``python3 -m liftmount.platform``."""

import sys

if __name__ == '__main__':
    # asyncio loads OpenSSL if it finds it: 5 MB that nothing here needs.
    sys.modules.setdefault('ssl', None)
    from liftmount.platform.daemon import main

    sys.exit(main())
