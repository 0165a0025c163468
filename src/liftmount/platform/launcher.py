"""Starts a balancer from the archive of its compiled modules.

Run as a script, with the address for packets.  It is bound at once: what
arrives during the imports waits, and need not be sent again.  One file in
place of 150 saves the looking for each; what the archive lacks, or an
archive of another Python, is found as usual.
"""

# The C module beneath ``socket``, as in utils/raw_sockets.py.
import _socket
import marshal
import os
import sys

ARCHIVE = 'balancer.archive'
# Room for the index: some 80 bytes for each of 150 modules.
HEADER_BYTES = 65_536
# Folders that the build makes: the program, and what it depends on.
PROGRAM = 'balancer'
DEPENDENCIES = 'deps'
# Python's own modules.
LIBRARY = 'library'
ModuleSpec = type(sys.__spec__)


def bind_packet_socket(address):
    """Return a socket that is bound to IP:PORT, None if it can't be.

    Why it can't is said later, when the settings are checked.
    """
    ip, _colon, port = address.rpartition(':')
    try:
        bound = _socket.socket(_socket.AF_INET, _socket.SOCK_DGRAM)
        bound.bind((ip, int(port)))
    except (OSError, ValueError):
        return None
    return bound


class Archive:
    """Finds and loads modules whose compiled code is in one file.

    The file begins with HEAD_BYTES of marshalled data: the version of the
    Python that compiled it, and an index.  This maps names of modules to
    offset and length of their code and, for a package, to the root and the
    folder below it where the rest of the package lies.
    """

    def __init__(self, path, roots):
        self._file = os.open(path, os.O_RDONLY)
        self._roots = roots
        header = os.read(self._file, HEADER_BYTES)
        self._version, self._index = marshal.loads(header)

    @property
    def is_usable(self):
        """Tell whether this Python can run what the archive holds."""
        return self._version == sys.version

    def find_spec(self, name, _path=None, _target=None):
        """Return the spec of a module in the archive, else None."""
        found = self._index.get(name)
        if found is None:
            return None
        _offset, _length, root, folder = found
        if not root:
            return ModuleSpec(name, self)
        spec = ModuleSpec(name, self, is_package=True)
        path = f'{self._roots[root]}/{folder}'
        spec.submodule_search_locations.append(path)
        return spec

    def create_module(self, _spec):
        """Leave the making of the module to Python."""

    def exec_module(self, module):
        """Run the code of a module."""
        offset, length, _root, _folder = self._index[module.__name__]
        code = os.pread(self._file, length, offset)
        exec(marshal.loads(code), module.__dict__)


def install_archive(path, roots):
    """Find modules in an archive from now on, if there is a good one."""
    try:
        archive = Archive(path, roots)
    except (OSError, ValueError, EOFError, TypeError) as error:
        print(f'liftmount: {path}: {error!r}', file=sys.stderr)
        return
    if archive.is_usable:
        sys.meta_path.insert(0, archive)
    else:
        print(f'liftmount: {path}: made by another Python', file=sys.stderr)


def prepare(target):
    """Let modules be found in the folder that the build makes."""
    program = f'{target}/{PROGRAM}'
    sys.path.insert(0, program)
    roots = {
        PROGRAM: program,
        DEPENDENCIES: f'{target}/{DEPENDENCIES}',
        LIBRARY: os.path.dirname(os.__file__),
    }
    install_archive(f'{program}/{ARCHIVE}', roots)


def launch(target, address):
    """Run the balancer; return its exit status."""
    bound = bind_packet_socket(address)
    prepare(target)
    from liftmount.platform.__main__ import start

    return start(bound)


if __name__ == '__main__':
    sys.exit(launch(__file__.rpartition(f'/{PROGRAM}/')[0], sys.argv[1]))
