"""Puts compiled modules into one file for ``liftmount.platform.launcher``."""

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

# What a balancer imports from its start on, in this order.
ENTRIES = (
    'liftmount.platform.__main__',
    'liftmount.platform.start',
    'liftmount.platform.daemon',
    'liftmount._internal.services.group',
    'liftmount._internal.services.metrics_page',
)
# Prints the modules that come to those that the interpreter brings.
LIST_MODULES = """
import sys
brought = set(sys.modules)
sys.modules['ssl'] = None
from importlib import import_module
for name in sys.argv[1:]:
    import_module(name)
loaded = {name for name, module in sys.modules.items() if module}
print('\\n'.join(sorted(loaded - brought)))
"""
# Docstrings and assertions are for those who read the source.
OPTIMIZE = 2


def list_modules(program: Path, dependencies: Path) -> list[str]:
    """Return the names of the modules that a balancer imports."""
    done = subprocess.run(
        [sys.executable, '-S', '-P', '-c', LIST_MODULES, *ENTRIES],
        env={'PYTHONPATH': f'{program}{os.pathsep}{dependencies}'},
        capture_output=True,
        text=True,
        check=True,
    )
    return done.stdout.split()


def write_archive(program: Path, dependencies: Path) -> int:
    """Write the archive of a program; return how many modules it holds.

    Modules that aren't written in Python are left out.
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
        raise ValueError(f'an index of {len(header)} bytes')
    data = header.ljust(HEADER_BYTES, b'\0') + b''.join(codes)
    (program / ARCHIVE).write_bytes(data)
    return len(index)


def _compile_module(path):
    code = compile(path.read_bytes(), path, 'exec', optimize=OPTIMIZE)
    return marshal.dumps(code)


def _find_source(name, roots):
    """Return the source of a module, None if there is none.

    Modules that are frozen into the interpreter need none.
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
    """Return the root and folder of a package, empty for other modules."""
    if path.name != '__init__.py':
        return '', ''
    for name, root in roots.items():
        if path.is_relative_to(root):
            return name, str(path.parent.relative_to(root))
    raise ValueError(f'{path} lies outside {roots}')
