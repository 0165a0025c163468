"""Bodies of requests, answers and stream events.

Answers and events are derived from ids, so that any process can check
them.
"""

from hashlib import sha256

from attrs import frozen
import cbor2


@frozen
class Work:
    """A request of the test load.

    ``id`` is unique; ``work_ms`` is the run time on a target of speed 1.
    """

    id: str
    team: str
    service: str
    work_ms: float
    answer_bytes: int


def encode_work(work: Work) -> bytes:
    """Return the body of a request."""
    return cbor2.dumps(
        [work.id, work.team, work.service, work.work_ms, work.answer_bytes]
    )


def decode_work(body: bytes) -> Work:
    """Decode the body of a request."""
    return Work(*cbor2.loads(body))


def make_answer(work_id: str, size: int) -> bytes:
    """Return the expected answer to a request."""
    block = sha256(work_id.encode()).digest()
    return (block * (size // len(block) + 1))[: max(size, len(block))]


def stream_name(
    team: str, service: str, label: str, start_ms: int, interval_ms: int
) -> bytes:
    """Return the name of a stream with an event per interval."""
    return f'{team}|{service}|{label}|{start_ms}|{interval_ms}'.encode()


@frozen
class StreamPlan:
    """Parameters of a stream, as encoded in its name."""

    team: str
    service: str
    start_ms: int
    interval_ms: int

    def due(self, wall_ms: int) -> int:
        """Return the sequence number of the newest event that is due."""
        return max(0, (wall_ms - self.start_ms) // self.interval_ms)


def parse_stream_name(name: bytes) -> StreamPlan:
    """Parse the name of a stream."""
    team, service, _label, start_ms, interval_ms = name.decode().split('|')
    return StreamPlan(team, service, int(start_ms), int(interval_ms))


def stream_event(name: bytes, sequence: int) -> bytes:
    """Return the expected body of an event."""
    return sha256(name + sequence.to_bytes(8, 'big')).digest()
