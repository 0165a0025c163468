"""Commands that start the programs of the product."""

from pathlib import Path
import sys

from liftmount.platform import launcher

LAUNCHER = 'liftmount/platform/launcher.py'
# The folder of the source tree that holds the package.
SOURCE = Path(launcher.__file__).parents[2]


def balancer_command(packets: str, program: Path = SOURCE) -> list[str]:
    """Return the command of a balancer on the platform, as it is deployed.

    ``packets`` is its address for packets, ``program`` the folder that holds
    the package: the source tree's or one that ``bundling`` made.
    """
    return [sys.executable, '-S', '-P', str(program / LAUNCHER), packets]
