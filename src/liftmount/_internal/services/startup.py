"""Startup of a balancer before its event loop runs.

Imports take most of the startup time on a small instance.  So the packet
path starts first, and packets are forwarded between the remaining imports.
"""

import select

from attrs import define
from attrs import Factory

from liftmount._internal.clock import Clock
from liftmount._internal.models.entry_settings import EntrySettings
from liftmount._internal.models.feeds import FeedUpdate
from liftmount._internal.models.feeds import Listing
from liftmount._internal.models.records import evolve
from liftmount._internal.services.packet_path import bind_packet_socket
from liftmount._internal.services.packet_path import PacketPath
from liftmount._internal.services.packet_path import TICK_MS
from liftmount._internal.utils.metrics import Metrics
from liftmount._internal.utils.raw_sockets import make_socket
from liftmount._internal.utils.raw_sockets import RawSocket
from liftmount._internal.utils.raw_sockets import SO_REUSEADDR
from liftmount._internal.utils.raw_sockets import SOCK_STREAM
from liftmount._internal.utils.raw_sockets import SOL_SOCKET
from liftmount._internal.utils.structured import StructuredLog

LISTEN_BACKLOG = 16


@define
class StartupContext:
    """State of a balancer that exists before its event loop runs.

    ``readiness`` is the listening socket of the readiness server, or None if
    its address could not be bound.  ``listings`` holds the lists that were
    received, by feed and without their items; ``pending_lists`` holds those
    still in transfer.  ``stop_signals`` is not empty if the process received
    a signal to stop.  ``settings_stamp`` is the stamp of the settings file
    from before it was read, see ``Adapter.stamp``.  ``rejected_objects`` is a
    RejectedObjects once an object of the store was rejected.
    """

    settings: EntrySettings
    clock: Clock
    log: StructuredLog
    metrics: Metrics
    path: PacketPath
    readiness: RawSocket | None
    listings: dict[str, Listing] = Factory(dict)
    pending_lists: dict = Factory(dict)
    stop_signals: list = Factory(list)
    settings_stamp: object = None
    rejected_objects: object = None

    def record_problems(self, key: str, revision: int, problems) -> None:
        """Record the problems of a stored object; no problems clear it."""
        if self.rejected_objects is None:
            if not problems:
                return
            # Imported only if needed, to keep the startup short.
            from liftmount._internal.services.rejections import RejectedObjects

            self.rejected_objects = RejectedObjects(self.log, self.metrics)
        self.rejected_objects.record(key, revision, problems)


def create_startup_context(
    settings: EntrySettings,
    codec,
    bound: RawSocket | None = None,
    signals_unhandled_ms: float = 0.0,
) -> StartupContext:
    """Bind the packet and readiness sockets and return the initial state.

    ``codec`` reads and writes packets, see PacketPath.  ``bound`` is the
    packet socket if it was bound earlier, ``signals_unhandled_ms`` the
    processor time of the process until it handled signals.  Raises OSError
    if the address for packets can't be bound.
    """
    clock = Clock()
    log = StructuredLog(clock)
    log.write(
        'process',
        'start',
        instance=settings.name,
        signals_unhandled_ms=signals_unhandled_ms,
    )
    metrics = Metrics()
    bound = bind_packet_socket(settings.packets, bound)
    path = PacketPath(clock, codec, settings, log, metrics, bound)
    readiness = _bind_readiness(settings.readiness, log)
    return StartupContext(settings, clock, log, metrics, path, readiness)


def _bind_readiness(address, log):
    """Return the listening readiness socket, or None if it can't be bound.

    Listening this early makes readiness checks wait for an answer, where a
    refused connection would count as not ready.
    """
    bound = make_socket(SOCK_STREAM)
    bound.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    try:
        bound.bind(address.socket_address())
        bound.listen(LISTEN_BACKLOG)
    except OSError as error:
        bound.close()
        log.write('readiness', 'not_bound', cause=str(error))
        return None
    return bound


class StartupLoop:
    """Polls the initial lists and forwards packets, without blocking.

    Forwarding begins once all lists were applied.  ``lists`` holds the
    requested lists by feed; each has ``socket``, ``is_request_sent`` and
    ``advance()``, which returns the Listing once it is complete, else None,
    and raises PlatformError.
    """

    def __init__(self, startup: StartupContext, lists: dict):
        self._startup = startup
        self._lists = dict(lists)
        self._poll = select.poll()
        self._last_tick_ms = 0
        for pending in lists.values():
            self._poll.register(pending.socket, select.POLLOUT)

    def run_once(self) -> None:
        """Process what is ready, without blocking."""
        path = self._startup.path
        if self._lists:
            self._advance_lists()
        if path.state.is_complete:
            path.read()
        now_ms = self._startup.clock.now_ms()
        if now_ms - self._last_tick_ms >= TICK_MS:
            self._last_tick_ms = now_ms
            path.tick()

    def release_pending_lists(self) -> None:
        """Pass the incomplete lists to the feeds of the event loop.

        Bytes that were received are kept: on a slow link a new transfer
        would take long.
        """
        self._startup.pending_lists.update(self._lists)
        self._lists.clear()

    def _advance_lists(self):
        ready = {descriptor for descriptor, _events in self._poll.poll(0)}
        for feed, pending in list(self._lists.items()):
            if pending.socket.fileno() in ready:
                self._advance(feed, pending)

    def _advance(self, feed, pending):
        startup = self._startup
        try:
            listing = pending.advance()
        except Exception as error:
            # Whatever the store sent must not end the process; the feed
            # lists again once it runs.
            startup.log.write(feed, 'first_list_failed', cause=repr(error))
            self._remove_list(feed, pending)
            return
        if listing is None:
            events = (
                select.POLLIN if pending.is_request_sent else select.POLLOUT
            )
            self._poll.modify(pending.socket, events)
            return
        self._remove_list(feed, pending)
        startup.listings[feed] = evolve(listing, items=())
        answer = FeedUpdate(feed, listing)
        now_ms = startup.clock.now_ms()
        startup.path.execute(
            startup.path.store_cache.apply_feed_update(answer, now_ms)
        )

    def _remove_list(self, feed, pending):
        del self._lists[feed]
        self._poll.unregister(pending.socket)
        pending.socket.close()
