"""Builds the deployed program: ``python3 -m bundling TARGET``.

``TARGET/deps`` must hold the dependencies; ``TARGET/balancer`` is written.
"""

from pathlib import Path
import shutil
import sys

from bundling.archive import list_modules
from bundling.archive import write_archive
from bundling.plain_classes import convert_module
from liftmount.platform.launcher import DEPENDENCIES
from liftmount.platform.launcher import PROGRAM

SOURCE = Path('src')
PACKAGE = 'liftmount'


def copy_package(program: Path, dependencies: Path) -> None:
    """Copy the package; convert the modules that a balancer imports."""
    shutil.copytree(SOURCE / PACKAGE, program / PACKAGE)
    for name in list_modules(program, dependencies):
        if name.partition('.')[0] != PACKAGE:
            continue
        path = program.joinpath(*name.split('.'))
        if path.is_dir():
            path = path / '__init__'
        path = path.with_suffix('.py')
        path.write_text(convert_module(path.read_text(), name))


def build(target: Path) -> int:
    """Build the program in ``target``; return the number of modules.

    The new program is built beside the old one and then renamed, so that a
    process that starts during the build never sees an incomplete program.
    """
    new = target / 'new' / PROGRAM
    shutil.rmtree(new.parent, ignore_errors=True)
    copy_package(new, target / DEPENDENCIES)
    count = write_archive(new, target / DEPENDENCIES)
    old = target / 'old'
    shutil.rmtree(old, ignore_errors=True)
    if (target / PROGRAM).exists():
        (target / PROGRAM).rename(old)
    new.rename(target / PROGRAM)
    return count


if __name__ == '__main__':
    found = build(Path(sys.argv[1]).resolve())
    print(f'{found} modules in the archive')
