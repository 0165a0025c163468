"""Messages between balancers on routes, targets and members: wire forms.

All are CBOR.  A heartbeat fits into a datagram; snapshots and lists of
members are compressed and sent over a connection.

What a peer tells is checked like what the store holds: a member of an earlier
version may tell what this one would not take from the store.  An entry that
is invalid is left out, and costs the message nothing else.
"""

import zlib

import cbor2

from liftmount._internal.exceptions import PacketError
from liftmount._internal.models.addresses import parse_endpoint
from liftmount._internal.models.feeds import Evacuated
from liftmount._internal.models.feeds import Expiring
from liftmount._internal.models.feeds import Snapshot
from liftmount._internal.models.members import Member
from liftmount._internal.models.members import member_record
from liftmount._internal.models.members import parse_member
from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message
from liftmount._internal.models.segments import is_integer
from liftmount._internal.models.segments import is_text
from liftmount._internal.models.segments import MAX_DURATION_MS
from liftmount._internal.models.segments import MAX_INTEGER
from liftmount._internal.models.segments import MAX_SLOTS
from liftmount._internal.models.segments import MAX_TARGET_NUMBER
from liftmount._internal.models.segments import Route
from liftmount._internal.models.segments import RouteKind
from liftmount._internal.models.segments import RouteTable
from liftmount._internal.models.segments import ServiceShare
from liftmount._internal.models.segments import TargetEntry
from liftmount._internal.models.segments import WarmUp

# First item of a datagram between balancers, which tells its kind.
HEARTBEAT_MARK = 3
HEARTBEAT_REQUEST_MARK = 4
STALL_REPORT_MARK = 5
# Limit on decompressed data, against malformed input.
# A snapshot of 27,000 targets takes some 2 MB.
MAX_SNAPSHOT_BYTES = 64 * 1_048_576


@message
class Heartbeat(Message):
    """Revisions and freshness of the sender's data, and recent changes.

    ``age_ms`` is the time since the store last confirmed the data.  Entries
    ``written`` and names ``removed`` lead from any revision of targets at or
    after ``base`` to ``targets_revision``.  ``evacuated`` is None if the
    sender has not received the evacuated failure domains.  ``refused`` counts
    the entries that were left out on decoding, as they are invalid.
    """

    sender: str
    age_ms: int
    base: int
    targets_revision: int
    routes_revision: int
    routes_version: int
    written: tuple[TargetEntry, ...]
    removed: tuple[str, ...]
    evacuated: Evacuated | None = None
    refused: int = 0


@message
class StallReport(Message):
    """``source`` saw a target stall ``age_ms`` ago, after ``waited_ms``.

    ``number`` grows with each stall that the source sees of a target.
    """

    target: str
    source: str
    waited_ms: int
    age_ms: int
    number: int


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return the wire form of a heartbeat."""
    return cbor2.dumps(
        [
            HEARTBEAT_MARK,
            heartbeat.sender,
            heartbeat.age_ms,
            heartbeat.base,
            heartbeat.targets_revision,
            heartbeat.routes_revision,
            heartbeat.routes_version,
            [_encode_target(one) for one in heartbeat.written],
            list(heartbeat.removed),
            _encode_evacuated(heartbeat.evacuated),
        ]
    )


def has_mark(datagram: bytes, mark: int) -> bool:
    """Return whether the first item of a CBOR list is ``mark``."""
    return len(datagram) > 1 and datagram[1] == mark


def is_heartbeat(datagram: bytes) -> bool:
    """Return whether a datagram of a peer is a heartbeat."""
    return has_mark(datagram, HEARTBEAT_MARK)


def encode_heartbeat_request(sender: str) -> bytes:
    """Return the wire form of a heartbeat request."""
    return cbor2.dumps([HEARTBEAT_REQUEST_MARK, sender])


def is_heartbeat_request(datagram: bytes) -> bool:
    """Return whether a datagram of a peer is a heartbeat request."""
    return has_mark(datagram, HEARTBEAT_REQUEST_MARK)


def decode_heartbeat_request(datagram: bytes) -> str:
    """Return the sender of a heartbeat request; raises PacketError."""
    try:
        _mark, sender = cbor2.loads(datagram)
    except Exception as error:
        # cbor2 raises exceptions of many types on malformed input.
        raise PacketError(f'malformed heartbeat request: {error}') from error
    if not is_text(sender):
        raise PacketError('sender of a heartbeat request is not a text')
    return sender


def encode_stall_report(report: StallReport) -> bytes:
    """Return the wire form of a stall report."""
    return cbor2.dumps(
        [
            STALL_REPORT_MARK,
            report.target,
            report.source,
            report.waited_ms,
            report.age_ms,
            report.number,
        ]
    )


def is_stall_report(datagram: bytes) -> bool:
    """Return whether a datagram of a peer is a stall report."""
    return has_mark(datagram, STALL_REPORT_MARK)


def decode_stall_report(datagram: bytes) -> StallReport:
    """Decode a stall report; raises PacketError."""
    try:
        _mark, target, source, *numbers = cbor2.loads(datagram)
        waited_ms, age_ms, number = map(_integer, numbers)
        return StallReport(
            _text(target), _text(source), waited_ms, age_ms, number
        )
    except Exception as error:
        # cbor2 raises exceptions of many types on malformed input.
        raise PacketError(f'malformed stall report: {error}') from error


def decode_heartbeat(datagram: bytes) -> Heartbeat:
    """Decode a heartbeat; raises PacketError."""
    try:
        _mark, sender, *numbers = cbor2.loads(datagram)
        *numbers, written, removed, evacuated = numbers
        age_ms, base, targets_revision, routes_revision, version = map(
            _integer, numbers
        )
        entries, refused = _decode_each(_decode_target, written)
        return Heartbeat(
            sender=_text(sender),
            age_ms=age_ms,
            base=base,
            targets_revision=targets_revision,
            routes_revision=routes_revision,
            routes_version=version,
            written=entries,
            removed=tuple(map(_text, removed)) + _names_of(refused),
            evacuated=_decode_evacuated(evacuated),
            refused=len(refused),
        )
    except Exception as error:
        # cbor2 raises exceptions of many types on malformed input.
        raise PacketError(f'malformed heartbeat: {error}') from error


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the wire form of a snapshot."""
    table = snapshot.table
    document = [
        [_encode_target(one) for one in snapshot.targets],
        snapshot.targets_revision,
        None if table is None else _encode_table(table),
        snapshot.routes_revision,
        _encode_expiring(snapshot.missing),
        _encode_expiring(snapshot.retired),
        _encode_evacuated(snapshot.evacuated),
    ]
    return zlib.compress(cbor2.dumps(document), 1)


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode a snapshot; raises PacketError."""
    try:
        unpacker = zlib.decompressobj()
        document = unpacker.decompress(data, MAX_SNAPSHOT_BYTES)
        targets, targets_revision, table, routes_revision, *old = cbor2.loads(
            document
        )
        missing, retired, evacuated = old
        entries, refused = _decode_each(_decode_target, targets)
        missing, refused_missing = _decode_each(_decode_expiring, missing)
        retired, refused_retired = _decode_each(_decode_expiring, retired)
        refused += refused_missing + refused_retired
        if table is not None:
            table, refused_routes = _decode_table(table)
            refused += refused_routes
        return Snapshot(
            targets=entries,
            targets_revision=_integer(targets_revision),
            table=table,
            routes_revision=_integer(routes_revision),
            missing=missing,
            retired=retired,
            evacuated=_decode_evacuated(evacuated),
            refused=len(refused),
        )
    except Exception as error:
        # zlib and cbor2 raise exceptions of many types.
        raise PacketError(f'malformed snapshot: {error}') from error


def encode_member(member: Member) -> bytes:
    """Return the wire form of a member's record."""
    return cbor2.dumps(member_record(member))


def decode_member(data: bytes) -> Member:
    """Decode a member's record; raises PacketError."""
    try:
        return parse_member(cbor2.loads(data))
    except Exception as error:
        # cbor2 raises exceptions of many types on malformed input.
        raise PacketError(f'malformed member: {error}') from error


def encode_members(members) -> bytes:
    """Return the wire form of a list of members."""
    return zlib.compress(cbor2.dumps([member_record(one) for one in members]))


def decode_members(data: bytes) -> list[Member]:
    """Decode a list of members; raises PacketError."""
    try:
        unpacker = zlib.decompressobj()
        records = cbor2.loads(unpacker.decompress(data, MAX_SNAPSHOT_BYTES))
        return [parse_member(one) for one in records]
    except Exception as error:
        # zlib and cbor2 raise exceptions of many types.
        raise PacketError(f'malformed list of members: {error}') from error


def _encode_target(entry):
    return [
        entry.name,
        entry.number,
        entry.service,
        str(entry.endpoint),
        entry.failure_domain,
        entry.slots,
        entry.draining,
        entry.warm_up_ms,
        entry.started_wall_ms,
    ]


def _text(value):
    if not is_text(value):
        raise PacketError('expected a text')
    return value


def _integer(value, low=0, high=MAX_INTEGER):
    if not is_integer(value, low, high):
        raise PacketError('expected an integer in its range')
    return value


def _number(value):
    if type(value) not in (int, float) or not 0 <= value <= MAX_INTEGER:
        raise PacketError('expected a number of at least 0')
    return value


def _decode_each(decode, items):
    """Return the decoded items, and those that are invalid as they came."""
    decoded = []
    refused = []
    for one in items:
        try:
            decoded.append(decode(one))
        except (PacketError, ValueError, TypeError):
            refused.append(one)
    return tuple(decoded), refused


def _names_of(entries):
    """Return the names of invalid entries, as far as they have one."""
    firsts = [one[0] for one in entries if type(one) is list and len(one) > 0]
    return tuple(one for one in firsts if is_text(one))


def _decode_target(fields):
    name, number, service, endpoint, domain, slots, draining, *times = fields
    # Members of an earlier version don't send ``started_wall_ms``.
    warm_up_ms, started_wall_ms = (*times, 0)[:2]
    address = parse_endpoint(_text(endpoint))
    _integer(address.port, 1)
    return TargetEntry(
        name=_text(name),
        number=_integer(number, 0, MAX_TARGET_NUMBER),
        service=_text(service),
        endpoint=address,
        failure_domain=_text(domain),
        slots=_integer(slots, 1, MAX_SLOTS),
        draining=bool(draining),
        warm_up_ms=_integer(warm_up_ms, 0, MAX_DURATION_MS),
        started_wall_ms=_integer(started_wall_ms),
    )


def _encode_expiring(targets):
    return [[_encode_target(one.entry), one.left_ms] for one in targets]


def _decode_expiring(pair):
    fields, left_ms = pair
    return Expiring(_decode_target(fields), _integer(left_ms))


def _encode_evacuated(evacuated):
    if evacuated is None:
        return None
    return [sorted(evacuated.domains), evacuated.revision]


def _decode_evacuated(fields):
    if fields is None:
        return None
    domains, revision = fields
    return Evacuated(frozenset(map(_text, domains)), _integer(revision))


def _encode_table(table):
    routes = [
        [
            one.name,
            str(one.address),
            one.kind.value,
            [[share.service, share.weight] for share in one.shares],
            one.priority,
            one.objective_ms,
            sorted(one.regions),
        ]
        for one in table.routes.values()
    ]
    warm_ups = {
        name: [one.per_s, one.lasts_ms] for name, one in table.warm_ups.items()
    }
    return [
        table.version,
        routes,
        table.health_paths,
        table.idle_limit_ms,
        warm_ups,
    ]


def _decode_table(fields):
    """Return a table, and its invalid routes as they came."""
    version, routes, health_paths, idle_limit_ms, warm_ups = fields
    decoded, refused = _decode_each(_decode_route, routes)
    table = RouteTable(
        version=_integer(version),
        routes={one.address: one for one in decoded},
        health_paths={
            _text(name): _text(path) for name, path in health_paths.items()
        },
        idle_limit_ms=_integer(idle_limit_ms, 0, MAX_DURATION_MS),
        warm_ups={
            _text(name): WarmUp(
                _number(per_s), _integer(lasts_ms, 0, MAX_DURATION_MS)
            )
            for name, (per_s, lasts_ms) in warm_ups.items()
        },
    )
    return table, refused


def _decode_kind(value):
    """Return a kind; an unknown one is served at most once."""
    try:
        return RouteKind(value)
    except ValueError:
        return RouteKind.AT_MOST_ONCE


def _decode_route(fields):
    name, address, kind, shares, priority, objective_ms, regions = fields
    return Route(
        name=_text(name),
        address=parse_endpoint(_text(address)),
        kind=_decode_kind(kind),
        shares=tuple(
            ServiceShare(_text(service), _integer(weight))
            for service, weight in shares
        ),
        priority=_integer(priority),
        objective_ms=_integer(objective_ms),
        regions=frozenset(map(_text, regions)),
    )
