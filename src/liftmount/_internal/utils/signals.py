"""Signals of a process while its event loop runs and until it has ended.

asyncio's own handlers give way to the default actions when the loop closes,
also for a signal that was ignored before: from there to the exit of the
process another SIGHUP or SIGTERM would end it with a status of its own.
"""

import asyncio
import signal
import socket

READ_BYTES = 4_096


class SignalHandlers:
    """A context that calls handlers in the event loop, then ignores signals.

    ``handlers`` maps the number of a signal to a callback without arguments.
    Signals of one number that come before their callback is called are one
    call.  After the context they are ignored until the process has ended:
    it is for programs, not for code that others embed.
    """

    def __init__(self, handlers: dict):
        self._handlers = handlers
        self._pending = set()
        self._loop = None
        self._reader = None
        self._writer = None

    def __enter__(self):
        self._loop = asyncio.get_running_loop()
        self._reader, self._writer = socket.socketpair()
        self._reader.setblocking(False)
        self._writer.setblocking(False)
        self._loop.add_reader(self._reader, self._drain)
        # Wakes the loop for a signal that comes just before it waits.  If
        # the socket is full the loop wakes as well.
        signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)
        for number in self._handlers:
            signal.signal(number, self._receive)
        return self

    def __exit__(self, *_error):
        for number in self._handlers:
            signal.signal(number, signal.SIG_IGN)
        signal.set_wakeup_fd(-1)
        self._loop.remove_reader(self._reader)
        self._reader.close()
        self._writer.close()

    def _receive(self, number, _frame):
        if number not in self._pending:
            self._pending.add(number)
            self._loop.call_soon_threadsafe(self._call, number)

    def _call(self, number):
        # First, as a signal during the call is one more.
        self._pending.discard(number)
        self._handlers[number]()

    def _drain(self):
        self._reader.recv(READ_BYTES)
