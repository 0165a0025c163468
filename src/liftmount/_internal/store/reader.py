"""Follows the objects of a store by lists and watches."""

import logging

from attrs import asdict
import cbor2

from liftmount._internal.exceptions import ConfigurationError
from liftmount._internal.exceptions import HistoryGoneError
from liftmount._internal.models.feeds import Delta
from liftmount._internal.models.feeds import Listing
from liftmount._internal.models.feeds import StoredObject
from liftmount._internal.models.objects import DISSEMINATED_KINDS
from liftmount._internal.models.objects import InstanceEntry
from liftmount._internal.models.objects import ObjectKind
from liftmount._internal.store.instances import read_instance
from liftmount._internal.store.interface import StoreClient

LOG = logging.getLogger('liftmount.platform')
# Wait of a watch that only returns past changes.
IMMEDIATE_WAIT_MS = 1
FROM_STORE = 'the platform'
FROM_LIST = 'the instance list'


class ObjectReader:
    """Reads the objects that every balancer holds, and the instance list.

    ``held()`` returns the objects held by this balancer, by key.
    ``on_newer(objects, source)`` is called with objects that are newer
    than those; a deletion is an object without a value.  An object that no
    message between balancers can carry is left out, so that the version held
    before stays.  Each call of the store raises PlatformError.
    """

    def __init__(self, store: StoreClient, held, on_newer):
        self.instances: dict[str, InstanceEntry] = {}
        self._store = store
        self._held = held
        self._on_newer = on_newer
        self._revisions = {}
        self._instance_revision = None
        self._unsendable = {}

    def may_watch(self, kind: str) -> bool:
        """Return whether a kind was listed and can be watched from there."""
        return kind in self._revisions

    async def list_all(self) -> None:
        """List all kinds; objects missing from a list count as deleted."""
        for kind in DISSEMINATED_KINDS:
            listing = await self._store.list(kind.value)
            deleted = self._find_deleted(kind.value, listing)
            objects = [*listing.items, *deleted]
            self._report_newer(kind.value, objects, listing.revision)

    async def watch(self, kind: str, wait_ms: int) -> None:
        """Wait for changes of a kind that was listed.

        Raises HistoryGoneError if it must be listed again.
        """
        try:
            delta = await self._store.watch(
                kind, self._revisions[kind], wait_ms
            )
        except HistoryGoneError:
            del self._revisions[kind]
            raise
        objects = [*delta.written, *_make_deletions(kind, delta)]
        self._report_newer(kind, objects, delta.revision)

    def _report_newer(self, kind, objects, revision):
        """Report objects that are newer than those held."""
        self._revisions[kind] = max(revision, self._revisions.get(kind, 0))
        held = self._held()
        newer = [
            item
            for item in objects
            if item.key not in held or item.version > held[item.key].version
        ]
        sendable = [item for item in newer if self._may_send(item)]
        if sendable:
            self._on_newer(sendable, FROM_STORE)

    def _may_send(self, item):
        """Return whether messages can carry an object; log if not, once."""
        cause = _find_send_error(item.value)
        if not cause:
            self._unsendable.pop(item.key, None)
            return True
        if self._unsendable.get(item.key) != item.version:
            self._unsendable[item.key] = item.version
            LOG.warning(
                'Ignoring object %s at version %d: %s.',
                item.key,
                item.version,
                cause,
            )
        return False

    def _find_deleted(self, kind: str, listing: Listing) -> list[StoredObject]:
        """Return deletions of held objects that a full list lacks.

        Objects newer than the list were written after it and are kept.
        """
        listed = {item.key for item in listing.items}
        return [
            StoredObject(item.key, listing.revision, None)
            for item in self._held().values()
            if item.kind == kind
            and item.value is not None
            and item.key not in listed
            and item.version < listing.revision
        ]

    async def read_instances(self) -> None:
        """Update ``instances`` by a list, or by the changes since the last."""
        kind = ObjectKind.INSTANCE.value
        if self._instance_revision is None:
            listing = await self._store.list(kind)
            self.instances.clear()
            self._update_instances(
                listing.items,
                self._find_deleted(kind, listing),
                listing.revision,
            )
            return
        try:
            delta = await self._store.watch(
                kind, self._instance_revision, IMMEDIATE_WAIT_MS
            )
        except HistoryGoneError:
            self._instance_revision = None
            return
        self._update_instances(
            delta.written, _make_deletions(kind, delta), delta.revision
        )

    def _update_instances(self, written, deleted, revision):
        changed = list(deleted)
        for item in deleted:
            self.instances.pop(item.name, None)
        for item in written:
            if not self._may_send(item):
                continue
            try:
                entry = read_instance(item)
            except ConfigurationError as error:
                LOG.warning('Ignoring invalid instance entry: %s.', error)
                continue
            self.instances[entry.name] = entry
            changed.append(StoredObject(item.key, item.version, asdict(entry)))
        self._instance_revision = revision
        if changed:
            self._on_newer(changed, FROM_LIST)


def _find_send_error(value):
    """Return why messages between balancers cannot carry a value, or ''."""
    # As deep as in a frame: tag and objects, each with key and version.
    frame = ['', [['', 0, value]]]
    try:
        cbor2.loads(cbor2.dumps(frame))
    except Exception as error:
        # A text without a UTF-8 form, or values that are nested too deeply.
        return repr(error)
    return ''


def _make_deletions(kind: str, delta: Delta) -> list[StoredObject]:
    return [
        StoredObject(f'{kind}/{name}', delta.revision, None)
        for name in delta.removed
    ]
