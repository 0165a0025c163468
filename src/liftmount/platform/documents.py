"""Reads the JSON documents of the platform's store, and builds its paths."""

import json

from attrs import define
from attrs import Factory

from liftmount._internal.exceptions import PlatformError
from liftmount._internal.exceptions import StoredObjectError
from liftmount._internal.models.feeds import Delta
from liftmount._internal.models.feeds import Listing
from liftmount._internal.models.feeds import StoredObject
from liftmount._internal.models.segments import is_integer
from liftmount._internal.models.segments import is_text


def object_path(key: str, query: dict | None = None) -> str:
    """Return the path of a kind, or of an object given by its key."""
    kind, slash, name = key.partition('/')
    text = '&'.join(f'{one}={value}' for one, value in (query or {}).items())
    path = f'/objects/{kind}{slash}{_quote_name(name)}'
    return f'{path}?{text}' if text else path


def list_path(kind: str, after: str, may_lag: bool) -> str:
    """Return the path of the page of a list that follows the name ``after``.

    The first page follows the empty name.  A list that ``may_lag`` is cheaper
    for the store, but may be some seconds old.
    """
    query = {'after': _quote_name(after)} if after else {}
    if may_lag:
        query['allow_stale'] = '1'
    return object_path(kind, query)


def _quote_name(name):
    """Return a name quoted for use in a path."""
    if not name:
        return ''
    # Imported here as a start does not need it.
    from urllib.parse import quote

    return quote(name, safe='')


def read_document(path: str, body: bytes) -> dict:
    """Return the JSON object in the body of the response for ``path``.

    Values that can't be parsed are None.  Raises PlatformError if the body
    is not a JSON object.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        # Imported here as it is rarely needed.
        from liftmount.platform.partial_json import parse_partial

        document = parse_partial(body.decode(errors='replace'))
    if type(document) is not dict:
        raise PlatformError(f'{path}: expected a JSON object')
    return document


def read_list(kind: str, page: dict, report) -> Listing:
    """Return one page of a list, with StoredObjects as items.

    ``report(error)`` is called with a StoredObjectError for each item
    without a valid name or revision.  Raises PlatformError if the page itself
    is invalid.
    """
    items = []
    for index, one in enumerate(_get_list(page, 'items')):
        try:
            items.append(read_object(kind, one))
        except PlatformError as error:
            report(StoredObjectError(kind, f'items[{index}]', one, str(error)))
    return Listing(tuple(items), _read_revision(page))


def read_changes(kind: str, page: dict, base: int, report) -> Delta:
    """Return the changes in the response to a watch.

    ``base`` is the revision that was watched from.  ``report(error)`` is
    called with a StoredObjectError for each event without a valid name or
    revision.  Raises PlatformError if the response itself is invalid.
    """
    latest = {}
    revisions = []
    for index, event in enumerate(_get_list(page, 'events')):
        try:
            stored, is_gone = _read_event(kind, event)
        except PlatformError as error:
            path = f'events[{index}]'
            report(StoredObjectError(kind, path, event, str(error)))
            continue
        revisions.append(stored.version)
        # Only the last state of each object matters.
        latest[stored.name] = None if is_gone else stored
    written = tuple(one for one in latest.values() if one is not None)
    removed = tuple(name for name, one in latest.items() if one is None)
    return Delta(
        written, removed, _read_revision(page), base, changes=tuple(revisions)
    )


def _read_event(kind, event):
    if type(event) is not dict:
        raise PlatformError('event: expected a JSON object')
    stored = read_object(kind, event.get('object'))
    return stored, bool(event.get('tombstone'))


def _get_list(page, field):
    value = page.get(field, [])
    if type(value) is not list:
        raise PlatformError(f'{field}: expected a list')
    return value


def _read_revision(page):
    """Return the revision of the store as of the response."""
    value = page.get('current_rev')
    if not is_integer(value):
        raise PlatformError('current_rev: expected an integer of at least 0')
    return value


def read_object(kind: str, document) -> StoredObject:
    """Return the object in a document; raises PlatformError."""
    try:
        name = document['meta']['name']
        version = document['meta'].get('revision', 0)
    except (AttributeError, KeyError, TypeError) as error:
        raise PlatformError(f'object without meta.name: {error!r}') from error
    if not is_text(name):
        raise PlatformError('name: expected a short text of Unicode')
    if not is_integer(version):
        raise PlatformError(
            f'{name}: revision: expected an integer of at least 0'
        )
    return StoredObject(f'{kind}/{name}', version, document.get('spec'))


@define
class ListPages:
    """The pages of a list that have been received so far.

    ``report`` is as in read_list.  ``revision`` is the lowest of all pages:
    a watch from a higher one would miss changes between two pages, which can
    be seconds apart if they are stale.  ``began_ms`` is when the first page
    began to arrive, ``size_bytes`` the size of all pages.
    """

    kind: str
    report: object
    items: list = Factory(list)
    revision: int | None = None
    began_ms: int | None = None
    size_bytes: int = 0

    def add(self, page: dict, began_ms: int, size_bytes: int) -> str:
        """Add a page; return the name that the next page follows.

        The name is empty after the last page.  Raises PlatformError if the
        page is invalid.
        """
        if self.began_ms is None:
            self.began_ms = began_ms
        self.size_bytes += size_bytes
        listing = read_list(self.kind, page, self.report)
        self.items += listing.items
        if self.revision is None or listing.revision < self.revision:
            self.revision = listing.revision
        if not page.get('more_pages'):
            return ''
        if not listing.items:
            # Without a name there is no next page to ask for, and a short
            # list would make the remaining objects look deleted.
            raise PlatformError(
                f'{self.kind}: more pages after a page without valid items'
            )
        return listing.items[-1].name

    def listing(self, now_ms: int) -> Listing:
        """Return the list of all pages."""
        age_ms = now_ms - self.began_ms
        return Listing(
            tuple(self.items),
            self.revision,
            age_ms,
            size_bytes=self.size_bytes,
        )
