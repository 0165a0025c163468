"""Local copy of the routes, targets and evacuations in the store.

Updates come from the feeds of the store and from other balancers.  Methods
that apply an update return the resulting actions of forwarding.
"""

from attrs import define
from attrs import Factory

from liftmount._internal.decisions import directory
from liftmount._internal.decisions import evacuations
from liftmount._internal.decisions import forwarding
from liftmount._internal.decisions.directory import DirectoryState
from liftmount._internal.decisions.evacuations import EvacuationState
from liftmount._internal.decisions.flow_table import ForwardingState
from liftmount._internal.decisions.flow_table import retired_targets
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
    """Target entries, routes and evacuations that forwarding uses.

    ``routes_revision`` is the store's revision up to which the routes are
    current.
    """

    state: ForwardingState
    log: StructuredLog
    directory: DirectoryState = Factory(DirectoryState)
    evacuations: EvacuationState = Factory(EvacuationState)
    routes_revision: int = 0

    def apply_feed_update(self, answer: FeedUpdate, now_ms: int) -> list:
        """Apply a list or a delta that a feed received."""
        update = answer.update
        is_listing = isinstance(update, Listing)
        items = update.items if is_listing else update.written
        if answer.feed == ROUTES:
            self.routes_revision = max(self.routes_revision, update.revision)
            actions = self._apply_tables(items, now_ms)
            if not (is_listing and update.may_lag):
                actions += self._confirm_routes(now_ms, update.age_ms)
            return actions
        if answer.feed == EVACUATIONS:
            return self.apply_evacuations(update, now_ms)
        if not (is_listing and update.may_lag):
            self.state.are_targets_confirmed = True
        if is_listing:
            event = directory.TargetsListed(items, update.revision, now_ms)
        else:
            event = directory.TargetsChanged(
                items, update.removed, update.revision, now_ms
            )
        return self._apply_and_settle(
            directory.decide(self.directory, event), now_ms
        )

    def apply_snapshot(self, snapshot: Snapshot, now_ms: int) -> list:
        """Apply a snapshot from a peer."""
        # Evacuations come first: the following steps may place flows.
        actions = []
        if snapshot.evacuated is not None:
            actions += self.apply_evacuations(snapshot.evacuated, now_ms)
        for expiring in snapshot.retired:
            until_ms = now_ms + expiring.left_ms
            event = flows.RetiredTarget(expiring.entry, until_ms)
            actions += forwarding.decide(self.state, event)
        if snapshot.targets or snapshot.missing:
            self.state.are_targets_confirmed = True
            event = directory.TargetsListed(
                snapshot.targets,
                snapshot.targets_revision,
                now_ms,
                snapshot.missing,
            )
            changes = directory.decide(self.directory, event)
            actions += self._apply_and_settle(changes, now_ms)
        if snapshot.table is not None:
            self.routes_revision = max(
                self.routes_revision, snapshot.routes_revision
            )
            actions += self._apply_tables([snapshot.table], now_ms)
        return actions

    def apply_evacuations(
        self, update: Listing | Delta | Evacuated, now_ms: int
    ) -> list:
        """Apply a change of the evacuated failure domains."""
        actions = []
        for change in evacuations.decide(self.evacuations, update):
            for domain in sorted(change.evacuated):
                self._log_domain('evacuated', domain)
            for domain in sorted(change.returned):
                self._log_domain('returned', domain)
            event = flows.DomainsEvacuated(change.domains, now_ms)
            actions += forwarding.decide(self.state, event)
        return actions

    def record_store_lost(self, now_ms: int) -> None:
        """Record that a call to the store failed."""
        directory.decide(self.directory, directory.StoreLost(now_ms))

    def expire_entries(self, tick: Tick) -> list:
        """Remove entries that have been missing for too long."""
        changes = directory.decide(self.directory, tick)
        return self._apply_entries(changes, tick.now_ms)

    def snapshot(
        self, now_ms: int, revision: int = 0, version: int = 0
    ) -> Snapshot:
        """Return a snapshot without the parts that the receiver holds.

        The receiver holds targets up to ``revision`` and routes up to
        ``version``.
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
            retired=retired_targets(self.state, now_ms),
            evacuated=evacuated,
        )

    def _apply_and_settle(self, changes, now_ms):
        actions = self._apply_entries(changes, now_ms)
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

    def _confirm_routes(self, now_ms, age_ms):
        table = self.state.table
        if table is None:
            return []
        as_of_ms = now_ms - age_ms
        event = flows.RoutesConfirmed(table.version, as_of_ms, now_ms)
        return forwarding.decide(self.state, event)

    def _apply_entries(self, changes, now_ms):
        actions = []
        for action in changes:
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
