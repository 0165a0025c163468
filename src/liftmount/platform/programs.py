"""Entry points of liftmountd and of the operators' tool.

``python3 -m liftmount.platform.programs daemon|tool`` runs one of them,
as ``liftmountd`` and ``liftmount`` do once the package is installed.  Both
keep their objects in the platform's store.
"""

import sys

from liftmount.platform.launcher import EarlySignals


def make_store(settings, local_ip: str):
    """Return a PlatformStore for the PlatformSettings ``settings``."""
    from liftmount.platform.store import PlatformStore

    return PlatformStore(
        settings.addresses, settings.timeout_ms, local_ip=local_ip
    )


def daemon() -> int:
    """Run liftmountd; return its exit status."""
    # Before the imports, as signals may come at any moment.
    with EarlySignals() as signals:
        from liftmount._internal.cli import daemon as daemon_program

        return daemon_program.main(make_store, signals.stops)


def tool() -> int:
    """Run the operators' tool; return its exit status."""
    from liftmount._internal.cli import main as tool_program

    return tool_program.main(make_store)


PROGRAMS = {'daemon': daemon, 'tool': tool}


if __name__ == '__main__':
    sys.exit(PROGRAMS[sys.argv.pop(1)]())
