"""Follows one kind of object in the platform's store."""

import asyncio

from liftmount._internal.clock import seconds
from liftmount._internal.decisions import following
from liftmount._internal.exceptions import HistoryGoneError
from liftmount._internal.exceptions import PlatformError
from liftmount._internal.kernel import Service
from liftmount._internal.models.feeds import FeedFailed
from liftmount._internal.models.feeds import FeedNews
from liftmount._internal.network.waiting import wait_for_socket


class FeedService(Service):
    """Owns one feed and posts FeedNews and FeedFailed to its listeners.

    ``feed`` has ``fetch(may_lag, timeout_ms)`` and ``watch(revision,
    wait_ms, timeout_ms)``, which raise PlatformError.  ``revision`` is
    given if the listeners know a list already, ``begun`` if one is under
    way; it has ``socket``, ``is_asked`` and ``advance()``.
    """

    def __init__(
        self,
        kernel,
        name,
        feed,
        listeners,
        log,
        jitter,
        revision=None,
        begun=None,
    ):
        super().__init__(kernel)
        self.name = name
        self.feed = feed
        self.listeners = listeners
        self.log = log
        self.state = following.FollowState(jitter=jitter)
        self._first = following.Started()
        if revision is not None:
            self._first = following.Known(revision)
        elif begun is not None:
            self._first = following.Begun()
        self._begun = begun
        self._call_task = None
        self._resting = False

    async def run(self):
        """Make one call after the other, until told to pause."""
        self._next(self._first)
        await super().run()

    def handle(self, posted):
        """Pause, resume, or ask at once."""
        match posted:
            case following.Paused():
                self._resting = True
                if not self._is_listing_first():
                    self._cancel()
            case following.Known() if self.state.revision is None:
                self._cancel()
                self._next(posted)
            case following.Known():
                pass
            case following.Resumed() if self._resting:
                self._resting = False
                if not self._is_listing_first():
                    self._cancel()
                    self._next(posted)
            case following.Hurried() if not self._resting:
                self._cancel()
                self._next(posted)
            case following.Resumed() | following.Hurried():
                pass
            case _:
                super().handle(posted)

    def _is_listing_first(self):
        """Tell whether the first list is under way.

        It goes on while others begin to read for us: they may have nothing
        yet, and what has arrived would be lost.
        """
        is_calling = self._call_task is not None
        return is_calling and self.state.revision is None

    def _cancel(self):
        if self._call_task is not None:
            self._call_task.cancel()
        self._call_task = None

    def _next(self, event):
        for action in following.decide(self.state, event):
            match action:
                case following.List() | following.Watch() if self._resting:
                    self._call_task = None
                case following.Finish() | following.List() | following.Watch():
                    task = asyncio.create_task(self._call(action))
                    self._call_task = task
                case _:
                    self._report(action)

    def _report(self, action):
        match action:
            case following.DependencyLost(cause):
                self.log.write(self.name, 'store_lost', cause=cause)
            case following.DependencyRegained(failures):
                self.log.write(
                    self.name, 'store_regained', failed_calls=failures
                )

    async def _call(self, action):
        match action:
            case following.List(after_ms) | following.Watch(after_ms):
                if after_ms:
                    await asyncio.sleep(seconds(after_ms))
        event = await self._make_call(action)
        self._next(event)

    async def _make_call(self, action):
        try:
            match action:
                case following.Finish():
                    return await self._finish()
                case following.List():
                    return await self._list(action)
            return await self._watch(action)
        except HistoryGoneError:
            self.log.write(
                self.name, 'history_gone', revision=self.state.revision
            )
            return following.HistoryGone()
        except PlatformError as error:
            return self._failed(str(error))
        except TimeoutError:
            return self._failed('the list under way makes no progress')
        except Exception as error:
            # Whatever the store sent must not end the feed for good.
            self.log.write(self.name, 'call_broke', cause=repr(error))
            return self._failed(repr(error))

    def _failed(self, cause):
        self._post(FeedFailed(self.name, cause))
        return following.CallFailed(cause)

    async def _finish(self):
        """Receive the rest of a list that was asked for before."""
        begun, self._begun = self._begun, None
        try:
            while (listing := begun.advance()) is None:
                await wait_for_socket(
                    begun.socket,
                    not begun.is_asked,
                    following.LIST_TIMEOUT_MS,
                )
        finally:
            begun.socket.close()
        self._post(FeedNews(self.name, listing))
        return following.Known(listing.revision)

    async def _list(self, action):
        listing = await self.feed.fetch(
            action.may_lag, following.LIST_TIMEOUT_MS
        )
        self._post(FeedNews(self.name, listing))
        return following.Listed(listing.revision)

    async def _watch(self, action):
        delta = await self.feed.watch(
            action.revision,
            action.wait_ms,
            action.wait_ms + following.WATCH_MARGIN_MS,
        )
        self._post(FeedNews(self.name, delta))
        count = len(delta.written) + len(delta.removed)
        return following.Changed(delta.revision, count)

    def _post(self, message):
        for listener in self.listeners:
            self.kernel.post(listener, message)

    async def stop(self):
        """Close the connection."""
        self._cancel()
        if self._begun is not None:
            self._begun.socket.close()
        self.feed.close()
