"""Tells peers what this balancer knows of the store's objects."""

from attrs import define
from attrs import Factory

from liftmount._internal.clock import Clock
from liftmount._internal.models.peer_messages import encode_snapshot
from liftmount._internal.network.http_messages import HTTP_NOT_FOUND
from liftmount._internal.network.http_messages import HTTP_OK
from liftmount._internal.network.http_messages import HttpAnswer
from liftmount._internal.services.beliefs import Beliefs
from liftmount._internal.utils.metrics import Metrics

KNOWLEDGE_PATH = '/knowledge/'
# Who says that it knows this revision is told of no targets.
LATEST_REVISION = 2**63 - 1
# Children ask for the same when they hear of news.  Encoding 27,000 targets
# takes 99 ms on a fast core, and no packet is read meanwhile.  Times that
# are left for what is doubted are told too long by as much.
TOLD_MS = 500


@define
class _Told:
    """An answer, and what it was made of."""

    known: tuple
    made_ms: int
    answer: HttpAnswer


@define
class KnowledgeTeller:
    """Answers pulls; the last answer is kept for those who ask the same."""

    beliefs: Beliefs
    clock: Clock
    counters: Metrics
    _told: dict[str, _Told] = Factory(dict)

    def answer(self, asked: str) -> HttpAnswer:
        """Tell what somebody does not know yet.

        ``asked`` is the revision of targets and the version of routes that
        it knows, with a slash between.
        """
        revision, _slash, version = asked.partition('/')
        if not (revision.isdecimal() and version.isdecimal()):
            self.counters.count('refused.malformed_peer_message')
            return HttpAnswer(HTTP_NOT_FOUND, b'', {})
        self.counters.count('knowledge_given')
        now_ms = self.clock.now_ms()
        told = self._told.get(asked)
        if told is None or not self._still_holds(told, now_ms):
            known = self.beliefs.knowledge(now_ms, int(revision), int(version))
            answer = HttpAnswer(HTTP_OK, encode_snapshot(known), {})
            told = _Told(self._known(), now_ms, answer)
            # Only what was asked last: answers are large.
            self._told = {asked: told}
        return told.answer

    def _still_holds(self, told, now_ms):
        is_young = now_ms - told.made_ms <= TOLD_MS
        return is_young and told.known == self._known()

    def _known(self):
        table = self.beliefs.state.table
        return (
            self.beliefs.directory.revision,
            self.beliefs.routes_revision,
            table.version if table else 0,
            len(self.beliefs.directory.missing),
            self.beliefs.evacuations.revision,
        )
