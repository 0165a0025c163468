"""A balancer before its event loop is there.

Imports take most of a start on a small instance.  So the path of packets
starts first, and packets are served between the imports of the rest.
"""

import select

from attrs import define
from attrs import Factory

from liftmount._internal.clock import Clock
from liftmount._internal.models.entry_settings import EntrySettings
from liftmount._internal.models.feeds import FeedUpdate
from liftmount._internal.models.feeds import Listing
from liftmount._internal.models.records import changed
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

# Connections that may wait until readiness is answered.
LISTEN_BACKLOG = 16


@define
class StartupContext:
    """What a balancer has from its first moment on.

    ``readiness`` is the bound socket of the server that is asked for
    readiness, None if its address is not free.  ``listings`` tells by feed which
    list was read, without its items, ``pending_lists`` holds the first lists that are
    still under way.  ``stop_signals`` has an entry if the process was told to stop
    before its event loop ran.  ``rejected_objects`` is a RejectedObjects as soon as something
    in the store can't be used.
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
    rejected_objects: object = None

    def record_problems(self, key: str, revision: int, problems) -> None:
        """Note all that is wrong with an object of the store."""
        if self.rejected_objects is None:
            if not problems:
                return
            # A start does without, unless there is something to refuse.
            from liftmount._internal.services.rejections import RejectedObjects

            self.rejected_objects = RejectedObjects(self.log, self.metrics)
        self.rejected_objects.record(key, revision, problems)


def create_startup_context(
    settings: EntrySettings, codec, bound: RawSocket | None = None
) -> StartupContext:
    """Bind the sockets that others send to.

    ``codec`` reads and writes packets, see PacketPath.  ``bound`` is the
    socket for packets, if there is one already.  Raises OSError if the
    address for packets can't be bound.
    """
    clock = Clock()
    log = StructuredLog(clock)
    log.write('process', 'start', instance=settings.name)
    metrics = Metrics()
    bound = bind_packet_socket(settings.packets, bound)
    path = PacketPath(clock, codec, settings, log, metrics, bound)
    readiness = _bind_readiness(settings.readiness, log)
    return StartupContext(settings, clock, log, metrics, path, readiness)


def _bind_readiness(address, log):
    """Let those who ask wait for an answer, who would take a reset for no."""
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
    """Serves packets in turns, as soon as the first lists are there.

    ``lists`` are lists that the store was asked for, by feed; each has
    ``socket``, ``is_request_sent`` and ``advance()``, which returns a Listing
    once it is there and raises PlatformError.
    """

    def __init__(self, startup: StartupContext, lists: dict):
        self._startup = startup
        self._lists = dict(lists)
        self._poll = select.poll()
        self._last_tick_ms = 0
        for one in lists.values():
            self._poll.register(one.socket, select.POLLOUT)

    def run_once(self) -> None:
        """Do what can be done without waiting."""
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
        """Leave the lists that are not there yet to the event loop.

        What has arrived of them is kept, as a transfer takes long on a slow
        link.
        """
        self._startup.pending_lists.update(self._lists)
        self._lists.clear()

    def _advance_lists(self):
        ready = {descriptor for descriptor, _events in self._poll.poll(0)}
        for feed, one in list(self._lists.items()):
            if one.socket.fileno() in ready:
                self._advance(feed, one)

    def _advance(self, feed, one):
        startup = self._startup
        try:
            listing = one.advance()
        except Exception as error:
            # The feed asks again, once it runs; whatever the store sent
            # must not end the start.
            startup.log.write(feed, 'first_list_failed', cause=repr(error))
            self._remove_list(feed, one)
            return
        if listing is None:
            events = select.POLLIN if one.is_request_sent else select.POLLOUT
            self._poll.modify(one.socket, events)
            return
        self._remove_list(feed, one)
        startup.listings[feed] = changed(listing, items=())
        news = FeedUpdate(feed, listing)
        now_ms = startup.clock.now_ms()
        startup.path.execute(
            startup.path.store_cache.apply_feed_update(news, now_ms)
        )

    def _remove_list(self, feed, one):
        del self._lists[feed]
        self._poll.unregister(one.socket)
        one.socket.close()
