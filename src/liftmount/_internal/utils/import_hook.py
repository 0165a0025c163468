"""Runs a callback between imports, so that they do not delay other work."""

import sys


class ImportHook:
    """A context in which ``callback()`` is called before each import.

    The time between two calls is bounded by the slowest single import.
    Imports of the callback itself do not call it.
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
        """Call the callback; return None, so that other finders are used."""
        if self._is_running:
            return
        self._is_running = True
        try:
            self._callback()
        finally:
            self._is_running = False
