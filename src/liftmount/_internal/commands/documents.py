"""Base class of the commands for templates and teams."""

import asyncio
from difflib import unified_diff
import getpass
import json
from pathlib import Path
import secrets
import sys

from attrs import asdict
from attrs import frozen
import tomli_w

from liftmount._internal.cli.base import Command
from liftmount._internal.cli.base import open_store
from liftmount._internal.cli.base import print_rows
from liftmount._internal.cli.base import STATUS_CONFLICT
from liftmount._internal.cli.base import STATUS_ERROR
from liftmount._internal.cli.base import STATUS_NOT_IN_FORCE
from liftmount._internal.cli.base import STATUS_OK
from liftmount._internal.clock import Clock
from liftmount._internal.clock import seconds
from liftmount._internal.commands.rollout_status import RolloutStatus
from liftmount._internal.exceptions import ConfigurationError
from liftmount._internal.exceptions import ConflictError
from liftmount._internal.models.feeds import StoredObject
from liftmount._internal.models.objects import ObjectKind
from liftmount._internal.models.objects import Written
from liftmount._internal.models.problems import Problem
from liftmount._internal.store.interface import StoreClient
from liftmount._internal.store.writing import write_and_resolve
from liftmount._internal.utils.documents import read_toml
from liftmount._internal.utils.documents import structure

BASE_VERSION = 'base_version'
MAX_HISTORY_VERSIONS = 20
NONCE_BYTES = 8
ROLLOUT_POLL_MS = 200


@frozen
class DocumentFile:
    """A document read from a file.

    ``base_version`` is the stored version that the document was edited
    from: 0 for a new document, None to replace whatever is stored.
    """

    path: str
    document: dict
    base_version: int | None


def read_document(path: str) -> DocumentFile:
    """Read a TOML file; raises ConfigurationError if it is invalid."""
    document = read_toml(Path(path))
    base_version = document.pop(BASE_VERSION, None)
    if base_version is not None and type(base_version) is not int:
        problem = Problem(
            path, BASE_VERSION, repr(base_version), 'expected int'
        )
        raise ConfigurationError([problem])
    return DocumentFile(path, document, base_version)


def to_toml(document: dict) -> str:
    """Return a document as TOML."""
    return tomli_w.dumps(document)


def stored_document(item: StoredObject | None) -> dict | None:
    """Return the document of a stored object, None if there is none."""
    if item is None or item.value is None:
        return None
    return structure(item.value, Written, item.key).document


def print_diff(old: dict | None, new: dict, old_name: str, new_name: str):
    """Print a unified diff; return whether the documents differ."""
    old_lines = to_toml(old).splitlines() if old else []
    new_lines = to_toml(new).splitlines()
    lines = list(
        unified_diff(old_lines, new_lines, old_name, new_name, lineterm='')
    )
    for line in lines:
        print(line)
    return bool(lines)


class DocumentCommand(Command):
    """Base class of the commands for templates and for teams.

    Subclasses set ``kind`` and implement ``parse`` and ``check_rollout``;
    they may override ``check_against_store``.
    """

    kind = ObjectKind.TEMPLATE

    def add_options(self, parser):
        """Add the actions and their arguments."""
        actions = parser.add_subparsers(
            dest='action', required=True, metavar='ACTION'
        )
        for name, text in (
            ('validate', 'check a file without writing it'),
            ('diff', 'show what a file would change'),
            ('apply', 'write a file, unless the stored version has changed'),
        ):
            action = actions.add_parser(name, help=text, description=text)
            action.add_argument('file', metavar='FILE')
            if name == 'apply':
                action.add_argument(
                    '--wait-ms',
                    type=int,
                    default=0,
                    metavar='MS',
                    help='wait up to MS for it to be in force everywhere',
                )
        get = actions.add_parser('get', help='print a document as TOML')
        get.add_argument('name', metavar='NAME')
        actions.add_parser('list', help='list all documents')
        history = actions.add_parser(
            'history', help='list the versions of a document'
        )
        history.add_argument('name', metavar='NAME')

    async def run(self, options):
        """Run the selected action."""
        store = open_store(options)
        try:
            run = getattr(self, f'_{options.action}')
            return await run(options, store)
        finally:
            store.close()

    def _key(self, name):
        return f'{self.kind.value}/{name}'

    def parse(self, document: dict, source: str):
        """Parse a document; raises ConfigurationError if it is invalid."""
        raise NotImplementedError

    async def check_against_store(
        self, parsed, source: str, store: StoreClient
    ) -> None:
        """Check a document against the stored ones.

        Raises ConfigurationError if they conflict.
        """

    async def _validate(self, options, store):
        file = read_document(options.file)
        parsed = self.parse(file.document, file.path)
        await self.check_against_store(parsed, file.path, store)
        print(f'{file.path}: valid.')
        return STATUS_OK

    async def _diff(self, options, store):
        file = read_document(options.file)
        parsed = self.parse(file.document, file.path)
        stored = await store.get(self._key(parsed.name))
        differs = print_diff(
            stored_document(stored), file.document, 'stored', file.path
        )
        return STATUS_ERROR if differs else STATUS_OK

    async def _apply(self, options, store):
        file = read_document(options.file)
        parsed = self.parse(file.document, file.path)
        await self.check_against_store(parsed, file.path, store)
        key = self._key(parsed.name)
        stored = await store.get(key)
        stored_version = stored.version if stored else 0
        version = file.base_version
        if version is None:
            version = stored_version
        value = asdict(_wrap_document(file.document))
        try:
            if version != stored_version:
                raise ConflictError(key, stored)
            written = await write_and_resolve(store, key, value, version)
        except ConflictError as error:
            return _print_conflict(error, file)
        await _append_history(store, key, stored)
        print(f'{key}: submitted as version {written}.')
        if options.wait_ms:
            return await self._wait_for_rollout(
                options, store, parsed, written
            )
        return STATUS_OK

    async def _wait_for_rollout(self, options, store, parsed, version):
        clock = Clock()
        deadline_ms = clock.now_ms() + options.wait_ms
        while True:
            status = await self.check_rollout(store, parsed, version)
            if status.is_in_force:
                print(f'version {version}: in force everywhere.')
                return STATUS_OK
            if clock.now_ms() >= deadline_ms:
                print(f'not in force: {status.reason}', file=sys.stderr)
                return STATUS_NOT_IN_FORCE
            await asyncio.sleep(seconds(ROLLOUT_POLL_MS))

    async def check_rollout(
        self, store, parsed, version: int
    ) -> RolloutStatus:
        """Return whether every balancer has applied a version."""
        raise NotImplementedError

    async def _get(self, options, store):
        stored = await store.get(self._key(options.name))
        document = stored_document(stored)
        if document is None:
            print(f'there is no {self._key(options.name)}', file=sys.stderr)
            return STATUS_ERROR
        shown = {BASE_VERSION: stored.version, **document}
        if options.output == 'json':
            print(json.dumps(shown, indent=2))
        else:
            print(to_toml(shown), end='')
        return STATUS_OK

    async def _list(self, options, store):
        listing = await store.list(self.kind.value)
        rows = []
        for item in sorted(listing.items, key=lambda entry: entry.key):
            written = structure(item.value, Written, item.key)
            rows.append(_make_row(item.name, item.version, written))
        print_rows(options, ('name', 'version', 'writer', 'wall_ms'), rows)
        return STATUS_OK

    async def _history(self, options, store):
        stored = await store.get(self._key(options.name))
        past = await store.get(_history_key(self._key(options.name)))
        rows = list(past.value['versions']) if past else []
        if stored is not None:
            written = structure(stored.value, Written, stored.key)
            rows.append(_make_row(stored.name, stored.version, written))
        print_rows(options, ('version', 'writer', 'wall_ms'), rows)
        return STATUS_OK


def _make_row(name, version, written):
    return {
        'name': name,
        'version': version,
        'writer': written.writer,
        'wall_ms': written.written_wall_ms,
    }


def _wrap_document(document):
    return Written(
        document=document,
        writer=getpass.getuser(),
        nonce=secrets.token_hex(NONCE_BYTES),
        written_wall_ms=Clock().wall_ms(),
    )


def _print_conflict(error, file):
    print(f'liftmount: {error}; nothing was written.', file=sys.stderr)
    current = stored_document(error.current)
    version = error.current.version if error.current else 0
    name = f'stored, version {version}'
    print_diff(current, file.document, name, file.path)
    return STATUS_CONFLICT


def _history_key(key):
    return f'{ObjectKind.HISTORY.value}/{key.replace("/", ".")}'


async def _append_history(store, key, replaced):
    """Append the replaced version to the history, on a best-effort basis."""
    if replaced is None:
        return
    history_key = _history_key(key)
    found = await store.get(history_key)
    versions = list(found.value['versions']) if found else []
    written = structure(replaced.value, Written, replaced.key)
    row = _make_row(replaced.name, replaced.version, written)
    versions.append({**row, 'document': written.document})
    value = {'versions': versions[-MAX_HISTORY_VERSIONS:]}
    version = found.version if found else 0
    try:
        await write_and_resolve(store, history_key, value, version)
    except ConflictError:
        print(
            'liftmount: history not updated: concurrent write.',
            file=sys.stderr,
        )
