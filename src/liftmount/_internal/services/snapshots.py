"""Tells peers what this balancer knows of the store's objects."""

from attrs import define
from attrs import Factory

from liftmount._internal.clock import Clock
from liftmount._internal.models.peer_messages import encode_snapshot
from liftmount._internal.network.http_messages import HTTP_NOT_FOUND
from liftmount._internal.network.http_messages import HTTP_OK
from liftmount._internal.network.http_messages import HttpAnswer
from liftmount._internal.services.store_cache import StoreCache
from liftmount._internal.utils.metrics import Metrics

SNAPSHOT_PATH = '/knowledge/'
# Who says that it knows this revision is told of no targets.
LATEST_REVISION = 2**63 - 1
# Children ask for the same when they hear of news.  Encoding 27,000 targets
# takes 99 ms on a fast core, and no packet is read meanwhile.  Times that
# are left for what is doubted are told too long by as much.
ANSWER_CACHE_MS = 500


@define
class _CachedAnswer:
    """An answer, and what it was made of."""

    revisions: tuple
    made_ms: int
    answer: HttpAnswer


@define
class SnapshotServer:
    """Answers pulls; the last answer is kept for those who ask the same."""

    store_cache: StoreCache
    clock: Clock
    counters: Metrics
    _cached: dict[str, _CachedAnswer] = Factory(dict)

    def answer(self, query: str) -> HttpAnswer:
        """Tell what somebody does not know yet.

        ``query`` is the revision of targets and the version of routes that
        it knows, with a slash between.
        """
        revision, _slash, version = query.partition('/')
        if not (revision.isdecimal() and version.isdecimal()):
            self.counters.count('refused.malformed_peer_message')
            return HttpAnswer(HTTP_NOT_FOUND, b'', {})
        self.counters.count('knowledge_given')
        now_ms = self.clock.now_ms()
        cached = self._cached.get(query)
        if cached is None or not self._is_current(cached, now_ms):
            snapshot = self.store_cache.snapshot(
                now_ms, int(revision), int(version)
            )
            answer = HttpAnswer(HTTP_OK, encode_snapshot(snapshot), {})
            cached = _CachedAnswer(self._held_revisions(), now_ms, answer)
            # Only what was asked last: answers are large.
            self._cached = {query: cached}
        return cached.answer

    def _is_current(self, cached, now_ms):
        is_young = now_ms - cached.made_ms <= ANSWER_CACHE_MS
        return is_young and cached.revisions == self._held_revisions()

    def _held_revisions(self):
        table = self.store_cache.state.table
        return (
            self.store_cache.directory.revision,
            self.store_cache.routes_revision,
            table.version if table else 0,
            len(self.store_cache.directory.missing),
            self.store_cache.evacuations.revision,
        )
