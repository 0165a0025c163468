"""Client of the platform's object API."""

import json

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from aiohttp import TCPConnector
from attrs import frozen

from liftmount._internal.clock import seconds
from liftmount._internal.exceptions import ConflictError
from liftmount._internal.exceptions import PlatformError
from liftmount._internal.exceptions import PlatformUnavailableError
from liftmount._internal.models.objects import InstanceEntry
from liftmount._internal.models.objects import StoredObject

HTTP_NOT_FOUND = 404
HTTP_PRECONDITION_FAILED = 412
HTTP_ERRORS = 400
WATCH_MARGIN_MS = 2_000


@frozen
class Listing:
    """Objects, or only their versions, as of one revision."""

    revision: int
    objects: list[StoredObject]


@frozen
class InstanceListing:
    """The platform's instance list, or what is new in it; it lags."""

    revision: int
    instances: list[InstanceEntry]


class PlatformClient:
    """Calls the object API at the first address that answers.

    Every call raises PlatformUnavailableError when no usable answer came;
    after a write this means that it may have taken effect.
    """

    def __init__(self, settings, caller: str, local_ip: str | None = None):
        self._addresses = list(settings.addresses)
        self._timeout_ms = settings.timeout_ms
        self._caller = caller
        self._local_ip = local_ip
        self._session = None
        self.calls = 0

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def _get_session(self):
        if self._session is None:
            local = (self._local_ip, 0) if self._local_ip else None
            connector = TCPConnector(local_addr=local)
            self._session = ClientSession(
                connector=connector,
                headers={'User-Agent': f'liftmount/{self._caller}'},
            )
        return self._session

    async def _call(self, method, path, timeout_ms=None, **options):
        limit_ms = timeout_ms or self._timeout_ms
        timeout = ClientTimeout(total=seconds(limit_ms))
        failure = None
        for address in list(self._addresses):
            url = f'http://{address}{path}'
            self.calls += 1
            try:
                async with self._get_session().request(
                    method, url, timeout=timeout, **options
                ) as response:
                    status = response.status
                    document = await response.json()
                    return self._checked(path, status, document)
            except (TimeoutError, ClientError, OSError) as error:
                failure = error
            except (json.JSONDecodeError, UnicodeDecodeError) as error:
                failure = error
            self._addresses.append(self._addresses.pop(0))
            if method != 'GET':
                # The write may have taken effect; whoever asked reads back.
                break
        text = f'{method} {path}: {type(failure).__name__} {failure}'
        raise PlatformUnavailableError(text) from failure

    @staticmethod
    def _checked(path, status, document):
        if status == HTTP_NOT_FOUND:
            return None
        if status == HTTP_PRECONDITION_FAILED:
            key = path.removeprefix('/objects/')
            raise ConflictError(key, _parse_object(document.get('current')))
        if status >= HTTP_ERRORS and status < 500:
            raise PlatformError(f'{path}: {document.get("error", status)}')
        if status >= HTTP_ERRORS:
            raise PlatformUnavailableError(f'{path}: status {status}')
        return document

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or None when there is none."""
        return _parse_object(await self._call('GET', f'/objects/{key}'))

    async def list(
        self, kinds, with_values: bool = True, since: int = 0
    ) -> Listing:
        """Return the objects of some kinds that are newer than ``since``.

        Deleted ones come without value.
        """
        names = ','.join(kind.value for kind in kinds)
        values = '1' if with_values else '0'
        path = f'/objects?kinds={names}&values={values}&since={since}'
        document = await self._call('GET', path)
        objects = [_parse_object(one) for one in document['objects']]
        return Listing(document['revision'], objects)

    async def put(self, key: str, value: dict, expected_version: int) -> int:
        """Write an object if its version still is ``expected_version``.

        Version 0 stands for an object that does not exist.  Returns the
        new version; raises ConflictError when another writer was first.
        """
        headers = _condition(expected_version)
        path = f'/objects/{key}'
        document = await self._call(
            'PUT', path, json={'value': value}, headers=headers
        )
        return document['version']

    async def delete(self, key: str, expected_version: int) -> int:
        """Delete an object if its version is ``expected_version``."""
        headers = _condition(expected_version)
        path = f'/objects/{key}'
        document = await self._call('DELETE', path, headers=headers)
        return document['version']

    async def watch(self, kinds, since: int, wait_ms: int) -> int:
        """Wait for a change after ``since``; return the revision then."""
        names = ','.join(kind.value for kind in kinds)
        path = f'/watch?kinds={names}&since={since}&wait_ms={wait_ms}'
        document = await self._call('GET', path, wait_ms + WATCH_MARGIN_MS)
        return document['revision']

    async def instances(self, since: int = 0) -> InstanceListing:
        """Return the entries of the instance list newer than ``since``.

        An entry that was removed comes with the state ``gone``.
        """
        document = await self._call('GET', f'/instances?since={since}')
        rows = [
            InstanceEntry(
                name=row['name'],
                failure_domain=row['failure_domain'],
                role=row['role'],
                state=row['state'],
            )
            for row in document['instances']
        ]
        return InstanceListing(document['revision'], rows)


def _condition(expected_version):
    if expected_version == 0:
        return {'If-None-Match': '*'}
    return {'If-Match': f'"{expected_version}"'}


def _parse_object(document) -> StoredObject | None:
    if document is None:
        return None
    return StoredObject(
        key=document['key'],
        version=document['version'],
        value=document.get('value'),
    )


async def write_and_resolve(client, key, value, expected_version) -> int:
    """Write conditionally; a lost answer is resolved by reading back.

    ``value`` should hold something that no other writer writes, such as a
    nonce.  Raises ConflictError when another writer was first, and
    PlatformUnavailableError when the outcome could not be learnt.
    """
    try:
        return await client.put(key, value, expected_version)
    except PlatformUnavailableError as error:
        failure = error
    except ConflictError as conflict:
        # A repeated attempt may meet its own first write.
        if conflict.current is not None and conflict.current.value == value:
            return conflict.current.version
        raise
    current = await client.get(key)
    if current is not None and current.value == value:
        return current.version
    version = current.version if current is not None else 0
    if version != expected_version and expected_version != 0:
        raise ConflictError(key, current)
    if expected_version == 0 and current is not None:
        raise ConflictError(key, current)
    raise failure
