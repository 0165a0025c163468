"""Follows one kind of object in the platform's store."""

import asyncio

from liftmount._internal.clock import seconds
from liftmount._internal.decisions import following
from liftmount._internal.exceptions import HistoryGoneError
from liftmount._internal.exceptions import PlatformError
from liftmount._internal.kernel import Service
from liftmount._internal.models.feeds import FeedFailed
from liftmount._internal.models.feeds import FeedNews
from liftmount._internal.models.feeds import ROUTES
from liftmount._internal.network.http import wait_for_socket


class FeedService(Service):
    """Owns one feed and posts FeedNews and FeedFailed to its listeners.

    ``feed`` has ``fetch(may_lag, timeout_ms)`` and ``watch(revision,
    wait_ms, timeout_ms)``, which raise PlatformError.  ``known`` is the
    Listing that the listeners know already, if any, ``begun`` a list that is
    under way with ``socket``, ``is_request_sent``, ``advance()``.  ``times``
    are FreshnessTimes, ``settle_ms`` is how long after a first list it is
    proven.
    """

    def __init__(
        self,
        kernel,
        name,
        feed,
        listeners,
        log,
        jitter,
        times,
        known=None,
        begun=None,
        settle_ms=following.SETTLE_MS,
    ):
        super().__init__(kernel)
        self.name = name
        self.feed = feed
        self.listeners = listeners
        self.log = log
        self.state = following.FollowState(
            jitter=jitter,
            times=times,
            settle_ms=settle_ms,
            is_one_object=name == ROUTES,
        )
        self._first = following.Started()
        if known is not None:
            self._first = following.Known(known.revision, known.size_bytes)
        elif begun is not None:
            self._first = following.Begun()
        self._begun = begun
        self._call_task = None

    async def run(self):
        """Make one call after the other, until told to pause."""
        self._next(self._first)
        await super().run()

    def handle(self, posted):
        """Pause, resume, ask at once, or take over what a peer told."""
        match posted:
            case (
                following.Paused()
                | following.Resumed()
                | following.Hurried()
                | following.Confirmed()
                | following.Known()
            ):
                self._next(posted)
            case _:
                super().handle(posted)

    def _cancel(self):
        if self._call_task is not None:
            self._call_task.cancel()
        self._call_task = None

    def _next(self, event):
        for action in following.decide(self.state, event):
            match action:
                case following.Cancel():
                    self._cancel()
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
        self._log_call(action, event)
        self._next(event)

    def _log_call(self, action, event):
        """Say what a call was for, and how it ended; each has a price."""
        self.log.write(
            self.name,
            'called',
            call=type(action).__name__.lower(),
            wait_ms=getattr(action, 'wait_ms', None),
            revision=self.state.revision,
            outcome=type(event).__name__.lower(),
            changes=getattr(event, 'count', None),
        )

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
                    not begun.is_request_sent,
                    following.LIST_TIMEOUT_MS,
                )
        finally:
            begun.socket.close()
        self._post(FeedNews(self.name, listing))
        return following.Finished(listing.revision, listing.size_bytes)

    async def _list(self, action):
        listing = await self.feed.fetch(
            action.may_lag, following.LIST_TIMEOUT_MS
        )
        self._post(FeedNews(self.name, listing))
        return following.Listed(listing.revision, listing.size_bytes)

    async def _watch(self, action):
        delta = await self.feed.watch(
            action.revision,
            action.wait_ms,
            action.wait_ms + following.WATCH_MARGIN_MS,
        )
        self._post(FeedNews(self.name, delta))
        count = len(delta.written) + len(delta.removed)
        return following.Changed(delta.revision, count, delta.age_ms)

    def _post(self, message):
        for listener in self.listeners:
            self.kernel.post(listener, message)

    async def stop(self):
        """Close the connection."""
        self._cancel()
        if self._begun is not None:
            self._begun.socket.close()
        self.feed.close()
