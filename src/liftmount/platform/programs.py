"""Entry points of liftmountd and of the operators' tool.

``python3 -m liftmount.platform.programs daemon|tool`` runs one of them,
as ``liftmountd`` and ``liftmount`` do once the package is installed.  Both
keep their objects in the platform's store.
"""

import signal
import sys


def make_store(settings, local_ip: str):
    """Return a PlatformStore for the PlatformSettings ``settings``."""
    from liftmount.platform.store import PlatformStore

    return PlatformStore(
        settings.addresses, settings.timeout_ms, local_ip=local_ip
    )


def daemon() -> int:
    """Run liftmountd; return its exit status."""
    # Before the imports, as an operator's SIGHUP may come at any moment.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from liftmount._internal.cli import daemon as daemon_program

    return daemon_program.main(make_store)


def tool() -> int:
    """Run the operators' tool; return its exit status."""
    from liftmount._internal.cli import main as tool_program

    return tool_program.main(make_store)


PROGRAMS = {'daemon': daemon, 'tool': tool}


if __name__ == '__main__':
    sys.exit(PROGRAMS[sys.argv.pop(1)]())
