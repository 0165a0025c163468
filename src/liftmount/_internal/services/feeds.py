"""Follows one kind of object in the platform's store."""

import asyncio

from liftmount._internal.clock import seconds
from liftmount._internal.decisions import following
from liftmount._internal.exceptions import HistoryGoneError
from liftmount._internal.exceptions import PlatformError
from liftmount._internal.kernel import Service
from liftmount._internal.models.feeds import FeedFailed
from liftmount._internal.models.feeds import FeedNews


class FeedService(Service):
    """Owns one feed and posts FeedNews and FeedFailed to its listeners.

    ``feed`` has ``fetch(may_lag, timeout_ms)`` and ``watch(revision,
    wait_ms, timeout_ms)``, which raise PlatformError.  ``revision`` is
    given if the listeners know a list already.
    """

    def __init__(
        self, kernel, name, feed, listeners, log, jitter, revision=None
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
                self._cancel()
            case following.Resumed() if self._resting:
                self._resting = False
                self._cancel()
                self._next(posted)
            case following.Hurried() if not self._resting:
                self._cancel()
                self._next(posted)
            case following.Resumed() | following.Hurried():
                pass
            case _:
                super().handle(posted)

    def _cancel(self):
        if self._call_task is not None:
            self._call_task.cancel()
        self._call_task = None

    def _next(self, event):
        for action in following.decide(self.state, event):
            match action:
                case following.List() | following.Watch():
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
        if action.after_ms:
            await asyncio.sleep(seconds(action.after_ms))
        event = await self._make_call(action)
        self._next(event)

    async def _make_call(self, action):
        try:
            if isinstance(action, following.List):
                return await self._list(action)
            return await self._watch(action)
        except HistoryGoneError:
            self.log.write(
                self.name, 'history_gone', revision=self.state.revision
            )
            return following.HistoryGone()
        except PlatformError as error:
            return self._failed(str(error))
        except Exception as error:
            # Whatever the store sent must not end the feed for good.
            self.log.write(self.name, 'call_broke', cause=repr(error))
            return self._failed(repr(error))

    def _failed(self, cause):
        self._post(FeedFailed(self.name, cause))
        return following.CallFailed(cause)

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
        self.feed.close()
