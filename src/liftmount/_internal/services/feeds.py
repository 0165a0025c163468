"""Follows one kind of object in the platform's store."""

import asyncio

from liftmount._internal.clock import seconds
from liftmount._internal.decisions import following
from liftmount._internal.exceptions import HistoryGoneError
from liftmount._internal.exceptions import PlatformError
from liftmount._internal.kernel import Service
from liftmount._internal.models.feeds import Delta
from liftmount._internal.models.feeds import Listing


class FeedService(Service):
    """Owns one feed and posts its Listing and Delta to a service.

    ``feed`` has ``fetch(may_lag, timeout_ms)`` and ``watch(revision,
    wait_ms, timeout_ms)``, which raise PlatformError.
    """

    def __init__(self, kernel, name, feed, listener, log, jitter):
        super().__init__(kernel)
        self.name = name
        self.feed = feed
        self.listener = listener
        self.log = log
        self.state = following.FollowState(jitter=jitter)

    async def run(self):
        """Make one call after the other until cancelled."""
        event = following.Started()
        while True:
            for action in following.decide(self.state, event):
                match action:
                    case following.List() | following.Watch():
                        event = await self._call(action)
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
            self.kernel.post(self.listener, following.CallFailed(str(error)))
            return following.CallFailed(str(error))

    async def _list(self, action):
        listing = await self.feed.fetch(
            action.may_lag, following.LIST_TIMEOUT_MS
        )
        self._publish(listing)
        return following.Listed(listing.revision)

    async def _watch(self, action):
        wait_ms = following.WATCH_MS
        delta = await self.feed.watch(
            action.revision, wait_ms, wait_ms + following.WATCH_MARGIN_MS
        )
        count = len(delta.written) + len(delta.removed)
        if count:
            self._publish(delta)
        return following.Changed(delta.revision, count)

    def _publish(self, message: Listing | Delta):
        self.kernel.post(self.listener, message)

    async def stop(self):
        """Close the connection."""
        self.feed.close()
