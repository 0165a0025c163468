"""Documents that the platform's store sends: objects, lists, changes."""

import json

from attrs import define
from attrs import Factory

from liftmount._internal.exceptions import PlatformError
from liftmount._internal.exceptions import StoredObjectError
from liftmount._internal.models.feeds import Delta
from liftmount._internal.models.feeds import Listing
from liftmount._internal.models.feeds import StoredObject


def object_path(key: str, query: dict | None = None) -> str:
    """Return the path of a kind, or of an object by its key."""
    kind, slash, name = key.partition('/')
    text = '&'.join(f'{one}={value}' for one, value in (query or {}).items())
    path = f'/objects/{kind}{slash}{_quote_name(name)}'
    return f'{path}?{text}' if text else path


def list_path(kind: str, after: str, may_lag: bool) -> str:
    """Return the path of a page of a list, which goes on ``after`` a name.

    A list that ``may_lag`` costs less, and may be some seconds old.
    """
    query = {'after': _quote_name(after)} if after else {}
    if may_lag:
        query['allow_stale'] = '1'
    return object_path(kind, query)


def _quote_name(name):
    """Return a name as it stands in a path."""
    if not name:
        return ''
    # A start does without: it takes 15 ms on a quarter of a core.
    from urllib.parse import quote

    return quote(name, safe='')


def read_document(path: str, body: bytes) -> dict:
    """Read the body of an answer; raises PlatformError naming the call.

    What one writer left in it that can't be read is None.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        # Hardly ever needed, and a start does without.
        from liftmount.platform.partial_json import parse_partial

        document = parse_partial(body.decode(errors='replace'))
    if type(document) is not dict:
        raise PlatformError(f'{path}: expected fields')
    return document


def read_list(kind: str, page: dict, report) -> Listing:
    """Read one page of a list; raises PlatformError.

    ``report(error)`` hears of each item that names no object.
    """
    items = []
    for index, one in enumerate(_get_list(page, 'items')):
        try:
            items.append(read_object(kind, one))
        except PlatformError as error:
            report(StoredObjectError(kind, f'items[{index}]', one, str(error)))
    return Listing(tuple(items), _read_revision(page))


def read_changes(kind: str, page: dict, base: int, report) -> Delta:
    """Read the answer of a watch; raises PlatformError.

    ``report(error)`` hears of each event that names no object.
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
        raise PlatformError('an event without fields')
    stored = read_object(kind, event.get('object'))
    return stored, bool(event.get('tombstone'))


def _get_list(page, field):
    value = page.get(field, [])
    if type(value) is not list:
        raise PlatformError(f'{field}: expected a list')
    return value


def _read_revision(page):
    """Return the revision of the store when it answered."""
    value = page.get('current_rev')
    if type(value) is not int:
        raise PlatformError(f'current_rev = {value!r}: expected a number')
    return value


def read_object(kind: str, document) -> StoredObject:
    """Read one object; raises PlatformError."""
    try:
        name = document['meta']['name']
        version = document['meta'].get('revision', 0)
    except (AttributeError, KeyError, TypeError) as error:
        raise PlatformError(f'an object without a name: {error!r}') from error
    if type(name) is not str:
        raise PlatformError(f'name = {name!r}: expected a text')
    if type(version) is not int:
        raise PlatformError(f'{name}: revision = {version!r}')
    return StoredObject(f'{kind}/{name}', version, document.get('spec'))


@define
class ListPages:
    """The pages of a list that have come so far.

    ``report(error)`` hears of each item that names no object.
    ``revision`` is that of the oldest page.  What changed between two pages
    is watched for from there on; the newest page's would skip it, and pages
    that may lag can be seconds apart.  ``began_ms`` is when the first page
    began to arrive, ``size_bytes`` what all pages took.
    """

    kind: str
    report: object
    items: list = Factory(list)
    revision: int | None = None
    began_ms: int | None = None
    size_bytes: int = 0

    def add(self, page: dict, began_ms: int, size_bytes: int) -> str:
        """Add a page; return after which name to go on, empty at the end.

        Raises PlatformError.
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
            # Where to go on is not known, and the rest must not seem gone.
            raise PlatformError(f'{self.kind}: a page without any name')
        return listing.items[-1].name

    def listing(self, now_ms: int) -> Listing:
        """Return the list."""
        age_ms = now_ms - self.began_ms
        return Listing(
            tuple(self.items),
            self.revision,
            age_ms,
            size_bytes=self.size_bytes,
        )
