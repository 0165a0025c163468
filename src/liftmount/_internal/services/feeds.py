"""Service that lists and watches one kind of object in the store."""

import asyncio

from liftmount._internal.clock import seconds
from liftmount._internal.decisions import list_watch
from liftmount._internal.exceptions import HistoryGoneError
from liftmount._internal.exceptions import PlatformError
from liftmount._internal.kernel import Service
from liftmount._internal.models.feeds import FeedFailed
from liftmount._internal.models.feeds import FeedUpdate
from liftmount._internal.models.feeds import ROUTES
from liftmount._internal.network.http import wait_for_socket


class FeedService(Service):
    """Follows one feed and posts its results to the listeners.

    Posts FeedUpdate for each answer and FeedFailed for each failed call.

    ``feed`` has ``fetch(may_lag, timeout_ms)`` and ``watch(revision,
    wait_ms, timeout_ms)``; both raise PlatformError.  ``listing`` is the
    list that the listeners already hold, if any.  ``pending_list`` is a list
    whose transfer is in progress; it has ``socket``, ``is_request_sent`` and
    ``advance()``.  ``times`` are FreshnessTimes.  ``recheck_ms`` is the delay
    before the first list is confirmed by a watch.
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
        listing=None,
        pending_list=None,
        recheck_ms=list_watch.RECHECK_MS,
    ):
        super().__init__(kernel)
        self.name = name
        self.feed = feed
        self.listeners = listeners
        self.log = log
        self.state = list_watch.ListWatchState(
            jitter=jitter,
            times=times,
            recheck_ms=recheck_ms,
            is_one_object=name == ROUTES,
        )
        self._first_event = list_watch.Started()
        if listing is not None:
            self._first_event = list_watch.ListKnown(
                listing.revision, listing.size_bytes
            )
        elif pending_list is not None:
            self._first_event = list_watch.ListInProgress()
        self._pending_list = pending_list
        self._call_task = None

    async def run(self):
        """Make one call to the store after the other, until paused."""
        self._handle_event(self._first_event)
        await super().run()

    def handle(self, message):
        """Handle pauses, resumes, and states received from peers."""
        match message:
            case (
                list_watch.Paused()
                | list_watch.Resumed()
                | list_watch.RefreshRequested()
                | list_watch.Confirmed()
                | list_watch.ListKnown()
            ):
                self._handle_event(message)
            case _:
                super().handle(message)

    def _cancel(self):
        if self._call_task is not None:
            self._call_task.cancel()
        self._call_task = None

    def _handle_event(self, event):
        for action in list_watch.decide(self.state, event):
            match action:
                case list_watch.Cancel():
                    self._cancel()
                case (
                    list_watch.Finish()
                    | list_watch.List()
                    | list_watch.Watch()
                ):
                    task = asyncio.create_task(self._call(action))
                    self._call_task = task
                case _:
                    self._log_availability(action)

    def _log_availability(self, action):
        match action:
            case list_watch.DependencyLost(cause):
                self.log.write(self.name, 'store_lost', cause=cause)
            case list_watch.DependencyRegained(failures):
                self.log.write(
                    self.name, 'store_regained', failed_calls=failures
                )

    async def _call(self, action):
        match action:
            case list_watch.List(after_ms) | list_watch.Watch(after_ms):
                if after_ms:
                    await asyncio.sleep(seconds(after_ms))
        event = await self._make_call(action)
        self._log_call(action, event)
        self._handle_event(event)

    def _log_call(self, action, event):
        """Log a call and its outcome."""
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
                case list_watch.Finish():
                    return await self._finish_list()
                case list_watch.List():
                    return await self._list(action)
            return await self._watch(action)
        except HistoryGoneError:
            self.log.write(
                self.name, 'history_gone', revision=self.state.revision
            )
            return list_watch.HistoryGone()
        except PlatformError as error:
            return self._report_failure(str(error))
        except TimeoutError:
            return self._report_failure('the list transfer made no progress')
        except Exception as error:
            # Whatever the store sent must not end the feed.
            self.log.write(self.name, 'call_broke', cause=repr(error))
            return self._report_failure(repr(error))

    def _report_failure(self, cause):
        self._post(FeedFailed(self.name, cause))
        return list_watch.CallFailed(cause)

    async def _finish_list(self):
        """Receive the rest of the list that was requested at startup."""
        pending_list, self._pending_list = self._pending_list, None
        try:
            while (listing := pending_list.advance()) is None:
                await wait_for_socket(
                    pending_list.socket,
                    not pending_list.is_request_sent,
                    list_watch.LIST_TIMEOUT_MS,
                )
        finally:
            pending_list.socket.close()
        self._post(FeedUpdate(self.name, listing))
        return list_watch.Finished(listing.revision, listing.size_bytes)

    async def _list(self, action):
        listing = await self.feed.fetch(
            action.may_lag, list_watch.LIST_TIMEOUT_MS
        )
        self._post(FeedUpdate(self.name, listing))
        return list_watch.Listed(listing.revision, listing.size_bytes)

    async def _watch(self, action):
        delta = await self.feed.watch(
            action.revision,
            action.wait_ms,
            action.wait_ms + list_watch.WATCH_MARGIN_MS,
        )
        self._post(FeedUpdate(self.name, delta))
        count = len(delta.written) + len(delta.removed)
        return list_watch.Changed(delta.revision, count, delta.age_ms)

    def _post(self, message):
        for listener in self.listeners:
            self.kernel.post(listener, message)

    async def stop(self):
        """Cancel the current call and close the connections."""
        self._cancel()
        if self._pending_list is not None:
            self._pending_list.socket.close()
        self.feed.close()
