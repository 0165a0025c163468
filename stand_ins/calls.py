"""HTTP calls to stand-ins and to the store, and polling."""

import json
import time
from urllib.parse import quote
from urllib.request import build_opener
from urllib.request import ProxyHandler
from urllib.request import Request

from liftmount._internal.models.feeds import StoredObject

READY_SECONDS = 30
_OPENER = build_opener(ProxyHandler({}))


def call(address: str, path: str, document=None, method=None, headers=()):
    """Call a stand-in over HTTP; return the body, decoded if it is JSON."""
    data = None if document is None else json.dumps(document).encode()
    request = Request(
        f'http://{address}{path}',
        data=data,
        method=method,
        headers={'Content-Type': 'application/json', **dict(headers)},
    )
    with _OPENER.open(request, timeout=10) as response:
        body = response.read().decode()
    return json.loads(body) if body.startswith(('{', '[')) else body


def list_stored(address: str, kind: str) -> list[StoredObject]:
    """Return the objects of a kind in the store at an address."""
    items = call(address, f'/objects/{kind}')['items']
    return [_stored(kind, one) for one in items]


def get_stored(address: str, key: str) -> StoredObject:
    """Return an object of the store at an address."""
    kind, _slash, name = key.partition('/')
    path = f'/objects/{kind}/{quote(name, safe="")}'
    return _stored(kind, call(address, path))


def _stored(kind, document):
    meta = document['meta']
    key = f'{kind}/{meta["name"]}'
    return StoredObject(key, meta['revision'], document['spec'])


def put_stored(address: str, stored: StoredObject) -> None:
    """Write an object to the store, if its version is still current."""
    path = f'/objects/{stored.kind}/{quote(stored.name, safe="")}'
    meta = {'revision': stored.version}
    call(address, path, {'meta': meta, 'spec': stored.value}, 'PUT')


def wait_for(condition, what: str, limit_s: float = READY_SECONDS):
    """Wait until ``condition()`` is true; return its value.

    Raise TimeoutError with ``what`` after ``limit_s``.
    """
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise TimeoutError(f'waited {limit_s} s for {what}')
