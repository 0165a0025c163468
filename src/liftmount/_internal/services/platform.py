"""Calls to the platform's store: lease, watches, status and claims.

Only the root of a failure domain's relay tree calls the store, so that
the number of calls grows with the failure domains and not with the
balancers.  A root whose calls fail announces that, and another member
becomes the root; if no member reaches the store, the first ones in the
relay order retry.  The member that holds the domain's lease writes the
status of the domain and claims, and rotates the flow key.
"""

import asyncio
import logging
import secrets

from attrs import asdict

from liftmount._internal.clock import seconds
from liftmount._internal.decisions import claims as claim_decisions
from liftmount._internal.decisions import keys as key_decisions
from liftmount._internal.decisions import lease as lease_decisions
from liftmount._internal.decisions.relay import relay_order
from liftmount._internal.decisions.rollout import ConfigurationView
from liftmount._internal.exceptions import ConfigurationError
from liftmount._internal.exceptions import ConflictError
from liftmount._internal.exceptions import HistoryGoneError
from liftmount._internal.exceptions import PlatformError
from liftmount._internal.exceptions import PlatformUnavailableError
from liftmount._internal.kernel import Service
from liftmount._internal.models.feeds import StoredObject
from liftmount._internal.models.messages import AppliedDigestsChanged
from liftmount._internal.models.messages import ConfigurationChanged
from liftmount._internal.models.messages import Inspect
from liftmount._internal.models.messages import MembersChanged
from liftmount._internal.models.messages import ObjectsReceived
from liftmount._internal.models.messages import PlatformReachabilityChanged
from liftmount._internal.models.objects import BALANCER_ROLE
from liftmount._internal.models.objects import ClaimState
from liftmount._internal.models.objects import DISSEMINATED_KINDS
from liftmount._internal.models.objects import DomainStatus
from liftmount._internal.models.objects import FLOW_KEY_OBJECT
from liftmount._internal.models.objects import LIVE_STATE
from liftmount._internal.models.objects import ObjectKind
from liftmount._internal.models.reasons import Reason
from liftmount._internal.models.records import Tick
from liftmount._internal.store.interface import StoreClient
from liftmount._internal.store.reader import ObjectReader
from liftmount._internal.store.statuses import read_statuses
from liftmount._internal.store.writing import write_and_resolve
from liftmount._internal.utils.documents import structure

LOG = logging.getLogger('liftmount.platform')
STEP_INTERVAL_MS = 200
MAX_RETRY_DELAY_MS = 5_000
WATCH_RETRY_DELAY_MS = 300
SECRET_BYTES = 32
RELIST_INTERVAL_MS = 300_000
# Consecutive failed calls before another member becomes the root.
FAILURES_BEFORE_FAILOVER = 2
# Members, first in the relay order, that retry an unreachable platform.
RETRYING_MEMBERS = 2


class PlatformService(Service):
    """Owns the store client and the lease state."""

    name = 'platform'

    def __init__(
        self, kernel, settings, identity, counters, store: StoreClient
    ):
        super().__init__(kernel)
        self.settings = settings
        self.identity = identity
        self.counters = counters
        self.store = store
        self.reader = ObjectReader(
            store, lambda: self._local_store().objects, self._post_objects
        )
        self.lease = lease_decisions.LeaseState(
            name=identity.name,
            incarnation=identity.incarnation,
            duration_ms=settings.lease.duration_ms,
        )
        self.view = ConfigurationView()
        self._conflicts = {}
        self._claims_may_be_due = False
        self._revision = 0
        self._digest = b''
        self._digests = {}
        self._members = None
        self._is_reached = True
        self._failures = 0
        self._retry_at_ms = 0
        self._needs_list = True
        self._next_list_ms = 0
        self._next_poll_ms = 0
        self._status = None
        self._status_version = None

    async def start(self):
        """Subscribe to configuration and members."""
        self.kernel.stream('configuration').subscribe(self.post)
        self.kernel.stream('members').subscribe(self.post)

    async def stop(self):
        """Close the client."""
        self.store.close()

    async def run(self):
        """Handle messages; as root of the domain, call the store."""
        async with asyncio.TaskGroup() as group:
            group.create_task(super().run())
            group.create_task(self._step_forever())
            for kind in DISSEMINATED_KINDS:
                group.create_task(self._watch_forever(kind.value))

    def handle(self, message):
        """Handle one message of another service."""
        match message:
            case ConfigurationChanged():
                self.view = message.view
                self._conflicts = self._find_conflicts()
                self._claims_may_be_due = True
                self._revision = message.revision
                self._digest = message.digest
            case MembersChanged():
                self._members = message
            case AppliedDigestsChanged():
                self._digests = message.digests
            case Inspect():
                message.answer.set_result(self._inspect())
            case _:
                super().handle(message)

    def _inspect(self):
        return {
            'calls': self.store.calls,
            'is_reached': self._is_reached,
            'is_root': self._is_root(),
            'holds_lease': self.lease.is_held(self.clock.now_ms()),
            'epoch': self.lease.epoch,
        }

    # Which member calls the platform.

    def _is_root(self):
        if self._members is None:
            return False
        order = self._local_order()
        return bool(order) and order[0] == self.identity.name

    def _local_order(self):
        known = [self._members.own, *self._members.members.values()]
        domain = self.identity.failure_domain
        return relay_order(
            [one for one in known if one.failure_domain == domain]
        )

    def _should_call(self):
        """Return whether this member should call the platform now."""
        if self._members is None:
            return False
        if self._is_root() and self._is_reached:
            return True
        if self._is_reached:
            return False
        if self.clock.now_ms() < self._retry_at_ms:
            return False
        return self.identity.name in self._local_order()[:RETRYING_MEMBERS]

    def _record_success(self):
        self._failures = 0
        if not self._is_reached:
            LOG.info('The platform is reachable again.')
            self._is_reached = True
            self._needs_list = True
            self._next_list_ms = 0
            self.kernel.post('peers', PlatformReachabilityChanged(True))

    def _record_failure(self, error):
        self.counters.refused(Reason.PLATFORM_UNAVAILABLE)
        self._failures += 1
        self._retry_at_ms = self.clock.now_ms() + self._random_retry_delay_ms()
        if self._is_reached and self._failures >= FAILURES_BEFORE_FAILOVER:
            LOG.warning('The platform is unreachable: %s.', error)
            self._is_reached = False
            self.kernel.post('peers', PlatformReachabilityChanged(False))

    @staticmethod
    def _random_retry_delay_ms():
        return MAX_RETRY_DELAY_MS // 2 + secrets.randbelow(
            MAX_RETRY_DELAY_MS // 2
        )

    async def _step_forever(self):
        while True:
            if self._should_call():
                try:
                    await self._step()
                    self._record_success()
                except PlatformUnavailableError as error:
                    self._record_failure(error)
                except ConflictError as error:
                    LOG.info('Write conflict: %s.', error)
                    self._needs_list = True
                    self._next_list_ms = 0
                except (PlatformError, ConfigurationError) as error:
                    LOG.warning('Platform call failed: %s.', error)
            await asyncio.sleep(seconds(STEP_INTERVAL_MS))

    async def _step(self):
        now_ms = self.clock.now_ms()
        await self._update_lease(now_ms)
        if self._needs_list or now_ms >= self._next_list_ms:
            self._next_list_ms = now_ms + RELIST_INTERVAL_MS
            await self.reader.list_all()
            self._needs_list = False
        if now_ms >= self._next_poll_ms:
            self._next_poll_ms = now_ms + self.settings.platform.poll_ms
            await self.reader.read_instances()
        if self.lease.is_held(self.clock.now_ms()):
            await self._write_status()
            await self._perform_duties()

    async def _watch_forever(self, kind):
        while True:
            await asyncio.sleep(seconds(WATCH_RETRY_DELAY_MS))
            while self._is_root() and self._is_reached:
                if not self.reader.may_watch(kind):
                    break
                try:
                    await self.reader.watch(
                        kind, self.settings.platform.watch_ms
                    )
                except HistoryGoneError:
                    LOG.info('Watch history of %s expired; relisting.', kind)
                    self._needs_list = True
                except PlatformError as error:
                    # The next step's calls show whether the platform is down.
                    LOG.info('Watch of %s ended: %s.', kind, error)
                    break

    def _post_objects(self, objects, source):
        self.kernel.post('configuration', ObjectsReceived(objects, source))

    # The lease.

    async def _update_lease(self, now_ms):
        tick = Tick(now_ms)
        steps = lease_decisions.decide(self.lease, tick, self._is_root())
        for step in steps:
            await self._execute_lease_step(step)

    async def _execute_lease_step(self, step):
        asked_ms = self.clock.now_ms()
        key = f'{ObjectKind.LEASE.value}/{self.identity.failure_domain}'
        match step:
            case lease_decisions.ReadLease():
                found = await self.store.get(key)
                event = self._make_lease_read(found, asked_ms)
                further = lease_decisions.decide(
                    self.lease, event, self._is_root()
                )
                for one in further:
                    await self._execute_lease_step(one)
            case lease_decisions.WriteLease():
                await self._write_lease(key, step, asked_ms)

    @staticmethod
    def _make_lease_read(found, now_ms):
        value = None
        version = 0
        if found is not None:
            version = found.version
            if found.value is not None:
                value = structure(
                    found.value, lease_decisions.LeaseValue, found.key
                )
        return lease_decisions.LeaseRead(value, version, now_ms)

    async def _write_lease(self, key, step, asked_ms):
        was_held = self.lease.is_held(asked_ms)
        try:
            version = await write_and_resolve(
                self.store, key, asdict(step.value), step.expected_version
            )
        except PlatformError:
            failed = lease_decisions.LeaseWriteFailed()
            lease_decisions.decide(self.lease, failed)
            if was_held:
                self.counters.refused(Reason.LEASE_LOST)
            raise
        written = lease_decisions.LeaseWritten(step.value, version, asked_ms)
        lease_decisions.decide(self.lease, written)
        if not was_held:
            self._status_version = None
            LOG.info('Acquired the lease, epoch %d.', step.value.epoch)

    # Duties of the lease holder.

    async def _write_status(self):
        """Write the status of the failure domain if it has changed."""
        status = self._make_status()
        if status == self._status and self._status_version is not None:
            return
        key = f'{ObjectKind.STATUS.value}/{self.identity.failure_domain}'
        if self._status_version is None:
            found = await self.store.get(key)
            self._status_version = found.version if found else 0
            if found and found.value is not None:
                self._check_epoch(found.value)
        version = self._status_version
        self._status_version = None
        self._status_version = await write_and_resolve(
            self.store, key, asdict(status), version
        )
        self._status = status

    def _check_epoch(self, value):
        """Give up the lease if a later holder has written a status."""
        if value.get('epoch', 0) > self.lease.epoch:
            self.lease.held_until_ms = 0
            self.counters.refused(Reason.LEASE_LOST)
            raise ConflictError('status', None)

    def _make_status(self):
        expected = self._expected_balancers()
        applied = {
            name
            for name, digest in self._digests.items()
            if digest == self._digest
        }
        applied.add(self.identity.name)
        problems = {
            key: '; '.join(str(problem) for problem in found)
            for key, found in self.view.problems.items()
        }
        problems.update(self._conflicts)
        return DomainStatus(
            failure_domain=self.identity.failure_domain,
            holder=self.identity.name,
            epoch=self.lease.epoch,
            revision=self._revision,
            applied=sorted(applied & expected),
            missing=sorted(expected - applied),
            problems=problems,
            draining=sorted(self.view.drained),
        )

    def _expected_balancers(self):
        """Return the balancers of the domain that must apply changes.

        The instance list lags behind, so the live members are added.
        """
        domain = self.identity.failure_domain
        names = {
            entry.name
            for entry in self.reader.instances.values()
            if entry.role == BALANCER_ROLE
            and entry.failure_domain == domain
            and entry.state == LIVE_STATE
        }
        return names | set(self._local_order()) | {self.identity.name}

    def _find_conflicts(self):
        problems = {}
        for address, services in self.view.wanted.items():
            if len(services) > 1:
                names = sorted(f'{s.team}/{s.name}' for s in services)
                text = 'asked for by ' + ', '.join(names)
                problems[f'claim/{address}'] = text
        return problems

    async def _perform_duties(self):
        if self.view.keys is None or self._key_is_due():
            await self._rotate_key()
        if self._claims_may_be_due:
            self._claims_may_be_due = self._claims_are_due()
        if self._claims_may_be_due:
            await self._write_claims()

    def _live_domains(self):
        return {
            entry.failure_domain
            for entry in self.reader.instances.values()
            if entry.role == BALANCER_ROLE and entry.state == LIVE_STATE
        } | {self.identity.failure_domain}

    def _key_is_due(self):
        keys = self.view.keys
        newest = max(keys.keys, key=lambda one: one.id)
        if newest.id != keys.current:
            return True
        age_ms = self.clock.wall_ms() - newest.created_wall_ms
        return age_ms >= self.settings.lease.key_rotation_ms

    async def _rotate_key(self):
        found = self._local_store().objects.get(FLOW_KEY_OBJECT)
        version = found.version if found else 0
        statuses = await read_statuses(self.store) if found else []
        times = key_decisions.RotationTimes(
            self.settings.lease.key_rotation_ms,
            self.settings.lease.key_overlap_ms,
        )
        changed = key_decisions.decide(
            self.view.keys,
            times,
            claim_decisions.in_force(version, statuses, self._live_domains()),
            secrets.token_hex(SECRET_BYTES),
            self.clock.wall_ms(),
        )
        if changed is None:
            return
        value = asdict(changed)
        await self._write_object(FLOW_KEY_OBJECT, value, version)

    def _local_store(self):
        return self.kernel.lookup('configuration').store

    async def _write_object(self, key, value, version):
        """Write an object that liftmount owns, and apply it here."""
        written = await write_and_resolve(self.store, key, value, version)
        item = StoredObject(key, written, value)
        arrived = ObjectsReceived([item], 'this balancer')
        self.kernel.post('configuration', arrived)

    def _claims_are_due(self):
        claims = self._current_claims()
        for address, services in self.view.wanted.items():
            known = claims.get(str(address))
            if known is None:
                return True
            claim = known[1]
            if claim.state == ClaimState.RELEASING.value:
                return True
            holder = (claim.team, claim.service)
            if holder not in {(one.team, one.name) for one in services}:
                return True
        return False

    def _current_claims(self):
        store = self._local_store()
        prefix = ObjectKind.CLAIM.value + '/'
        return {
            key.removeprefix(prefix): (store.objects[key].version, claim)
            for key, claim in store.valid.items()
            if key.startswith(prefix)
        }

    async def _write_claims(self):
        statuses = await read_statuses(self.store)
        steps = claim_decisions.decide(
            self.view, self._current_claims(), statuses, self._live_domains()
        )
        for step in steps:
            if isinstance(step, claim_decisions.WriteClaim):
                await self._write_claim(step)

    async def _write_claim(self, step):
        key = f'{ObjectKind.CLAIM.value}/{step.address}'
        LOG.info('Writing claim of %s: %s.', step.address, step.claim)
        value = asdict(step.claim)
        await self._write_object(key, value, step.expected_version)
