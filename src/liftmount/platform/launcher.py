"""Starts a balancer, from the archive of its compiled modules if there is one.

Run as a script, ``python3 -S -P .../launcher.py IP:PORT``, with the address
for packets.  Until its first lines have run SIGHUP ends the process, as do
signals to stop: ``-S`` and a start by path leave only the interpreter's own
start before them.

The address is bound before the imports, so that packets queue in the socket
meanwhile.  Loading modules from one file saves searching the path for each
of them.  Modules that the archive lacks, or all if it was written by another
version of Python, are imported from their files.
"""

# The C module beneath ``signal``, which takes long to import.
import _signal

MS_PER_SECOND = 1_000


class EarlySignals:
    """The signals that a program handles before its event loop runs.

    SIGHUP is ignored: the settings are compared with those that were read
    once the event loop runs.  ``stops`` holds the numbers of the signals to
    stop that were received; a start that blocks ends by SIGKILL alone.
    ``processor_ms`` is the processor time of the process until its signals
    were handled; until then each of them ends it.

    A context: at its end the signals are ignored, as the interpreter's end
    would restore the default actions of those that have a handler.
    """

    def __init__(self):
        self.stops = []
        # SIGHUP last: once it is ignored, the others are recorded.
        _signal.signal(_signal.SIGTERM, self._record_stop)
        _signal.signal(_signal.SIGINT, self._record_stop)
        _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
        self.processor_ms = _read_processor_ms()

    def __enter__(self):
        return self

    def __exit__(self, *_error):
        for number in (_signal.SIGTERM, _signal.SIGINT, _signal.SIGHUP):
            _signal.signal(number, _signal.SIG_IGN)

    def _record_stop(self, number, _frame):
        self.stops.append(number)


def _read_processor_ms():
    """Return the processor time of the process."""
    # Imported here, as signals come before any import.
    from resource import getrusage
    from resource import RUSAGE_SELF

    used = getrusage(RUSAGE_SELF)
    return round((used.ru_utime + used.ru_stime) * MS_PER_SECOND, 1)


if __name__ == '__main__':
    # Before the imports, as an operator's SIGHUP may come at any moment.
    SIGNALS = EarlySignals()

# The C module beneath ``socket``, as in utils/raw_sockets.py.
import _socket  # noqa: E402
import gc  # noqa: E402
import marshal  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402

SETTINGS_VARIABLE = 'LIFTMOUNT_CONFIG'
SETTINGS_PATH = '/etc/liftmount/settings.toml'
ARCHIVE = 'balancer.archive'
# Size of the archive's header, padded; the compiled modules follow it.
HEADER_BYTES = 65_536
# Folders of the build's target, and the names of their roots in the index.
PROGRAM = 'balancer'
DEPENDENCIES = 'deps'
# Name of the root of the standard library.
LIBRARY = 'library'
ModuleSpec = type(sys.__spec__)


def bind_packet_socket(address):
    """Return a UDP socket bound to IP:PORT, None if that fails.

    The cause is reported later, when the address in the settings is bound.
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

    It is a finder and a loader as importlib defines them.  The file begins
    with HEADER_BYTES of marshalled data: the version of the Python that
    compiled it, and an index.  The index maps the name of a module to
    (offset, length, root, folder): the place of its code in bytes and, for a
    package, the name of the root and the folder below it that holds the
    package's files.
    """

    def __init__(self, path, roots):
        self._file = os.open(path, os.O_RDONLY)
        self._roots = roots
        header = os.read(self._file, HEADER_BYTES)
        self._version, self._index = marshal.loads(header)

    @property
    def is_usable(self):
        """Return whether this version of Python can run the code."""
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
        """Use the default module creation."""

    def exec_module(self, module):
        """Execute the code of a module in its namespace."""
        offset, length, _root, _folder = self._index[module.__name__]
        code = os.pread(self._file, length, offset)
        exec(marshal.loads(code), module.__dict__)


def install_archive(path, roots):
    """Import modules from the archive at ``path`` from now on.

    An archive that can't be read or used is reported on stderr and skipped.
    """
    try:
        archive = Archive(path, roots)
    except (OSError, ValueError, EOFError, TypeError) as error:
        print(f'liftmount: {path}: {error!r}', file=sys.stderr)
        return
    if archive.is_usable:
        sys.meta_path.insert(0, archive)
    else:
        print(
            f'liftmount: {path}: made by another Python version',
            file=sys.stderr,
        )


def prepare(target):
    """Set up imports from ``target``, the folder that the build wrote."""
    program = f'{target}/{PROGRAM}'
    sys.path.insert(0, program)
    roots = {
        PROGRAM: program,
        DEPENDENCIES: f'{target}/{DEPENDENCIES}',
        LIBRARY: os.path.dirname(os.__file__),
    }
    install_archive(f'{program}/{ARCHIVE}', roots)


def prepare_source(program):
    """Set up imports from ``program``, the folder of a source tree.

    The dependencies are installed packages, which ``-S`` left out.
    """
    import site

    sys.path.insert(0, program)
    site.main()


def start(signals, bound=None):
    """Run a balancer whose imports are set up; return its exit status.

    ``signals`` are its EarlySignals, ``bound`` is the RawSocket for packets
    if it is already bound.
    """
    # Garbage collection during the imports would free nothing.
    gc.disable()
    from liftmount.platform.start import serve

    path = os.environ.get(SETTINGS_VARIABLE, SETTINGS_PATH)
    return serve(path, bound, signals)


def launch(program, address, signals):
    """Run the balancer in the folder ``program``; return its exit status.

    ``address`` is the one for packets, ``signals`` are its EarlySignals.
    """
    bound = bind_packet_socket(address)
    target, _slash, name = program.rpartition('/')
    if name == PROGRAM:
        prepare(target)
    else:
        prepare_source(program)
    return start(signals, bound)


if __name__ == '__main__':
    FOLDER = __file__.rpartition('/liftmount/platform/')[0]
    with SIGNALS:
        sys.exit(launch(FOLDER, sys.argv[1], SIGNALS))
