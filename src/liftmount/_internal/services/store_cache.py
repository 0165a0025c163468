"""What a balancer believes of routes, targets and evacuations.

News comes from feeds of the store and from other balancers.  Each method
returns the actions that forwarding decided on because of the news.
"""

from attrs import define
from attrs import Factory

from liftmount._internal.decisions import directory
from liftmount._internal.decisions import evacuations
from liftmount._internal.decisions import forwarding
from liftmount._internal.decisions.directory import DirectoryState
from liftmount._internal.decisions.evacuations import EvacuationState
from liftmount._internal.decisions.flow_table import former_targets
from liftmount._internal.decisions.flow_table import ForwardingState
from liftmount._internal.models import flow_messages as flows
from liftmount._internal.models.feeds import Delta
from liftmount._internal.models.feeds import Evacuated
from liftmount._internal.models.feeds import EVACUATIONS
from liftmount._internal.models.feeds import FeedUpdate
from liftmount._internal.models.feeds import Listing
from liftmount._internal.models.feeds import ROUTES
from liftmount._internal.models.feeds import Snapshot
from liftmount._internal.models.records import Tick
from liftmount._internal.utils.structured import StructuredLog


@define
class StoreCache:
    """Entries of targets and the configuration, as forwarding uses them.

    ``routes_revision`` is the store's revision as of which the routes are
    known.
    """

    state: ForwardingState
    log: StructuredLog
    directory: DirectoryState = Factory(DirectoryState)
    evacuations: EvacuationState = Factory(EvacuationState)
    routes_revision: int = 0

    def apply_feed_update(self, posted: FeedUpdate, now_ms: int) -> list:
        """Take over what the store answered."""
        news = posted.update
        is_listing = isinstance(news, Listing)
        items = news.items if is_listing else news.written
        if posted.feed == ROUTES:
            self.routes_revision = max(self.routes_revision, news.revision)
            return self._apply_tables(items, now_ms)
        if posted.feed == EVACUATIONS:
            return self.apply_evacuations(news, now_ms)
        if not (is_listing and news.may_lag):
            self.state.are_targets_proven = True
        if is_listing:
            event = directory.TargetsListed(items, news.revision, now_ms)
        else:
            event = directory.TargetsChanged(
                items, news.removed, news.revision, now_ms
            )
        return self._apply_and_settle(
            directory.decide(self.directory, event), now_ms
        )

    def apply_snapshot(self, known: Snapshot, now_ms: int) -> list:
        """Take over all that a peer knows."""
        # First, so that nothing is placed where nothing may go.
        actions = []
        if known.evacuated is not None:
            actions += self.apply_evacuations(known.evacuated, now_ms)
        for one in known.retired:
            until_ms = now_ms + one.left_ms
            event = flows.FormerTarget(one.entry, until_ms)
            actions += forwarding.decide(self.state, event)
        if known.targets or known.missing:
            self.state.are_targets_proven = True
            event = directory.TargetsListed(
                known.targets, known.targets_revision, now_ms, known.missing
            )
            found = directory.decide(self.directory, event)
            actions += self._apply_and_settle(found, now_ms)
        if known.table is not None:
            self.routes_revision = max(
                self.routes_revision, known.routes_revision
            )
            actions += self._apply_tables([known.table], now_ms)
        return actions

    def apply_evacuations(
        self, news: Listing | Delta | Evacuated, now_ms: int
    ) -> list:
        """Take over which failure domains are evacuated."""
        actions = []
        for found in evacuations.decide(self.evacuations, news):
            for domain in sorted(found.evacuated):
                self._log_domain('evacuated', domain)
            for domain in sorted(found.returned):
                self._log_domain('returned', domain)
            event = flows.DomainsEvacuated(found.domains, now_ms)
            actions += forwarding.decide(self.state, event)
        return actions

    def record_store_lost(self, now_ms: int) -> None:
        """Note that the store gave no answer."""
        directory.decide(self.directory, directory.StoreLost(now_ms))

    def expire_entries(self, tick: Tick) -> list:
        """Let doubts about targets expire."""
        found = directory.decide(self.directory, tick)
        return self._apply_entries(found, tick.now_ms)

    def snapshot(
        self, now_ms: int, revision: int = 0, version: int = 0
    ) -> Snapshot:
        """Return what somebody does not know yet.

        It knows targets up to ``revision`` and routes of ``version``.
        """
        table = self.state.table
        if table is not None and table.version <= version:
            table = None
        evacuated = self.evacuations.known
        if revision and self.directory.revision <= revision:
            return Snapshot(
                (), 0, table, self.routes_revision, evacuated=evacuated
            )
        return Snapshot(
            targets=self.directory.listed(),
            targets_revision=self.directory.revision,
            table=table,
            routes_revision=self.routes_revision,
            missing=self.directory.missing_entries(now_ms),
            retired=former_targets(self.state, now_ms),
            evacuated=evacuated,
        )

    def _apply_and_settle(self, found, now_ms):
        actions = self._apply_entries(found, now_ms)
        event = flows.TargetsSettled(now_ms)
        return actions + forwarding.decide(self.state, event)

    def _log_domain(self, event, domain):
        self.log.write(
            'domains',
            event,
            failure_domain=domain,
            revision=self.evacuations.revision,
        )

    def _apply_tables(self, tables, now_ms):
        actions = []
        for table in tables:
            before = self.state.table
            event = flows.RoutesChanged(table, now_ms)
            actions += forwarding.decide(self.state, event)
            self.log.write(
                'routes',
                'configuration',
                version=table.version,
                in_force=self.state.table.version,
                before=before.version if before else None,
                routes=len(table.routes),
            )
        return actions

    def _apply_entries(self, found, now_ms):
        actions = []
        for action in found:
            match action:
                case directory.EntryUpdated(entry):
                    event = flows.TargetPut(entry, now_ms)
                    self._log_target('believed', entry)
                case directory.EntryMissing(entry):
                    event = flows.TargetPut(entry, now_ms, True)
                    self._log_target('doubted', entry)
                case directory.EntryRemoved(entry):
                    event = flows.TargetRemoved(entry.name, now_ms)
                    self._log_target('gone', entry)
            actions += forwarding.decide(self.state, event)
        return actions

    def _log_target(self, event, entry):
        self.log.write(
            'targets',
            event,
            target=entry.name,
            service=entry.service,
            endpoint=str(entry.endpoint),
            draining=entry.draining,
            warm_up_ms=entry.warm_up_ms,
            revision=self.directory.revision,
        )
