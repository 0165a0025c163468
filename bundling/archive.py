"""Writes the archive of compiled modules for ``platform.launcher``."""

from importlib.machinery import FrozenImporter
import marshal
import os
from pathlib import Path
import subprocess
import sys

from liftmount.platform.launcher import ARCHIVE
from liftmount.platform.launcher import DEPENDENCIES
from liftmount.platform.launcher import HEADER_BYTES
from liftmount.platform.launcher import LIBRARY
from liftmount.platform.launcher import PROGRAM

# Modules whose imports cover those of a balancer, in import order.
ENTRIES = (
    'liftmount.platform.start',
    'liftmount.platform.daemon',
    'liftmount._internal.services.group',
    'liftmount._internal.services.metrics_page',
)
# Prints the modules that imports add to those loaded at interpreter start.
# The program runs without ssl, see platform/start.py.
LIST_MODULES = """
import sys
preloaded = set(sys.modules)
sys.modules['ssl'] = None
from importlib import import_module
for name in sys.argv[1:]:
    import_module(name)
loaded = {name for name, module in sys.modules.items() if module}
print('\\n'.join(sorted(loaded - preloaded)))
"""
# Strips docstrings and assertions.
OPTIMIZE = 2


def list_modules(program: Path, dependencies: Path) -> list[str]:
    """Return the names of all modules that a balancer imports.

    They are imported in a new interpreter without site-packages.  Raises
    CalledProcessError if an import fails.
    """
    done = subprocess.run(
        [sys.executable, '-S', '-P', '-c', LIST_MODULES, *ENTRIES],
        env={'PYTHONPATH': f'{program}{os.pathsep}{dependencies}'},
        capture_output=True,
        text=True,
        check=True,
    )
    return done.stdout.split()


def write_archive(program: Path, dependencies: Path) -> int:
    """Write the archive of a program; return the number of modules.

    The archive starts with a marshalled header, padded to HEADER_BYTES:
    the version of Python and the index that launcher.Archive describes.
    The marshalled code objects follow.  Modules without a Python source are
    left out.  Raises ValueError if the header exceeds HEADER_BYTES.
    """
    roots = {
        PROGRAM: program,
        DEPENDENCIES: dependencies,
        LIBRARY: Path(os.__file__).parent,
    }
    index = {}
    codes = []
    offset = HEADER_BYTES
    for name in list_modules(program, dependencies):
        path = _find_source(name, roots)
        if path is None:
            continue
        code = _compile_module(path)
        index[name] = (offset, len(code), *_locate_package(path, roots))
        codes.append(code)
        offset += len(code)
    header = marshal.dumps((sys.version, index))
    if len(header) > HEADER_BYTES:
        raise ValueError(f'archive header too long: {len(header)} bytes')
    data = header.ljust(HEADER_BYTES, b'\0') + b''.join(codes)
    (program / ARCHIVE).write_bytes(data)
    return len(index)


def _compile_module(path):
    code = compile(path.read_bytes(), path, 'exec', optimize=OPTIMIZE)
    return marshal.dumps(code)


def _find_source(name, roots):
    """Return the path of a module's source, None if it has none.

    Modules that are frozen into the interpreter need no archived code.
    """
    if FrozenImporter.find_spec(name) is not None:
        return None
    for root in roots.values():
        path = root.joinpath(*name.split('.'))
        for found in (path / '__init__.py', path.with_suffix('.py')):
            if found.is_file():
                return found
    return None


def _locate_package(path, roots):
    """Return the root's name and the folder of a package.

    Both are empty for a module that is not a package.
    """
    if path.name != '__init__.py':
        return '', ''
    for name, root in roots.items():
        if path.is_relative_to(root):
            return name, str(path.parent.relative_to(root))
    raise ValueError(f'{path} is outside of {roots}')
