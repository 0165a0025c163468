"""Serves snapshots of the store's objects to other balancers."""

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
# A requester that names this revision receives no targets.
LATEST_REVISION = 2**63 - 1
# Children request the same snapshot after a change, and no packet is read
# while one is encoded.  The remaining times of missing entries in a snapshot
# are too long by up to this time.
ANSWER_CACHE_MS = 500


@define
class _CachedAnswer:
    """An encoded snapshot and the revisions that it was made from."""

    revisions: tuple
    made_ms: int
    answer: HttpAnswer


@define
class SnapshotServer:
    """Answers snapshot requests; caches the last answer."""

    store_cache: StoreCache
    clock: Clock
    counters: Metrics
    _cached: dict[str, _CachedAnswer] = Factory(dict)

    def answer(self, query: str) -> HttpAnswer:
        """Return a snapshot without the parts that the requester holds.

        ``query`` is the requester's revision of the targets and version of
        the routes, separated by a slash.  Anything else gets status 404.
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
            # Only the last one is kept, because answers are large.
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
