"""Entry points of liftmountd and of the operators' tool.

``python3 -m liftmount.platform.programs daemon|tool`` runs one of them,
as ``liftmountd`` and ``liftmount`` do once the package is installed.  Both
keep their objects in the platform's store.
"""

import sys

from liftmount._internal.cli import daemon as daemon_program
from liftmount._internal.cli import main as tool_program
from liftmount._internal.models.settings import PlatformSettings
from liftmount.platform.store import PlatformStore


def make_store(settings: PlatformSettings, local_ip: str) -> PlatformStore:
    """Return a client of the store at the addresses in the settings."""
    return PlatformStore(
        settings.addresses, settings.timeout_ms, local_ip=local_ip
    )


def daemon() -> int:
    """Run liftmountd; return its exit status."""
    return daemon_program.main(make_store)


def tool() -> int:
    """Run the operators' tool; return its exit status."""
    return tool_program.main(make_store)


PROGRAMS = {'daemon': daemon, 'tool': tool}


if __name__ == '__main__':
    sys.exit(PROGRAMS[sys.argv.pop(1)]())
