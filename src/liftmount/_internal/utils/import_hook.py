"""Does something between imports, which would hold it up."""

import sys


class ImportHook:
    """A context in which ``callback()`` is called before each import.

    That bounds the time without a turn by the slowest single import, some
    20 ms on a quarter of a core, where all imports of a balancer's second
    part together take 300.
    """

    def __init__(self, callback):
        self._callback = callback
        self._is_running = False

    def __enter__(self):
        sys.meta_path.insert(0, self)
        return self

    def __exit__(self, *_error):
        sys.meta_path.remove(self)

    def find_spec(self, _name, _path=None, _target=None):
        """Take a turn; the other finders find the module."""
        if self._is_running:
            return
        self._is_running = True
        try:
            self._callback()
        finally:
            self._is_running = False
