"""Requests member lists and snapshots from other balancers."""

import asyncio

from liftmount._internal.decisions.dissemination import Scope
from liftmount._internal.exceptions import HttpError
from liftmount._internal.exceptions import PacketError
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.members import Member
from liftmount._internal.models.peer_messages import decode_snapshot
from liftmount._internal.network.http import HttpConnection
from liftmount._internal.services.packet_path import PacketPath
from liftmount._internal.services.snapshots import LATEST_REVISION
from liftmount._internal.services.snapshots import SNAPSHOT_PATH

# Time until the first byte of the answer.
# Up to eight children may ask a peer on a slow link at once.
PULL_TIMEOUT_MS = 1_500


async def get_from_peer(address: Endpoint, path: str) -> bytes:
    """Return the body of a peer's answer; raises HttpError."""
    connection = HttpConnection(address)
    try:
        answer = await connection.request('GET', path, PULL_TIMEOUT_MS)
    finally:
        connection.close()
    return answer.body


class SnapshotPuller:
    """Pulls snapshots; each pull has its own task and connection.

    ``on_end(member, snapshot)`` is called at the end of each pull;
    ``snapshot`` is None if the pull failed.
    """

    def __init__(self, name: str, path: PacketPath, counters, log, on_end):
        self._name = name
        self._path = path
        self._counters = counters
        self._log = log
        self._on_end = on_end
        self._tasks = set()

    def start(self, member: Member, scope: Scope) -> None:
        """Start to pull a snapshot from a member."""
        task = asyncio.create_task(self._pull(member, scope))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pull(self, member, scope):
        snapshot = None
        try:
            snapshot = await self._request(member, scope)
        finally:
            self._on_end(member, snapshot)

    async def _request(self, member, scope):
        path = f'{SNAPSHOT_PATH}{self._format_revisions(scope)}'
        try:
            data = await get_from_peer(member.control, path)
            self._path.record_transfer(len(data))
            return decode_snapshot(data)
        except (HttpError, PacketError) as error:
            self._counters.count('retried.pull_failed')
            self._log.write(
                self._name, 'pull_failed', peer=member.name, cause=str(error)
            )
        return None

    def _format_revisions(self, scope):
        """Return the revisions that the packet path holds, as a query."""
        table = self._path.state.table
        version = table.version if table else 0
        revisions = {
            Scope.ROUTES: LATEST_REVISION,
            Scope.NEWER: self._path.store_cache.directory.revision,
            Scope.ALL: 0,
        }
        return f'{revisions[scope]}/{version}'
