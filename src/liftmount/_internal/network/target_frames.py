"""Frames between a home and a target, over one websocket connection."""

from attrs import frozen

from liftmount._internal.network.frames import FrameCodec


@frozen
class TargetHello:
    """The first frame: who the target is.  Checked before any other.

    ``is_draining`` tells at once that it takes no new work.
    """

    name: str
    team: str
    pool: str
    incarnation: int
    is_draining: bool = False


@frozen
class TargetRequest:
    """Run a request; the home writes each request id once."""

    request_id: int
    service: str
    deadline_ms: int
    priority: str
    body: bytes


@frozen
class TargetCancel:
    """Nobody waits for the request any more."""

    request_id: int


@frozen
class TargetAnswer:
    """The whole answer to a request."""

    request_id: int
    body: bytes


@frozen
class TargetRefusal:
    """The request did not run and never will."""

    request_id: int
    retry_after_ms: int
    cancelled: bool


@frozen
class StreamAttach:
    """Push the stream ``name`` from after ``sequence`` on."""

    nonce: int
    service: str
    name: bytes
    sequence: int


@frozen
class StreamDetach:
    """Push the stream no longer."""

    nonce: int


@frozen
class StreamPush:
    """One event of a stream."""

    nonce: int
    sequence: int
    body: bytes


@frozen
class DrainNotice:
    """The target is about to leave, or stays after all."""

    is_draining: bool


CODEC = FrameCodec(
    hello=TargetHello,
    request=TargetRequest,
    cancel=TargetCancel,
    answer=TargetAnswer,
    refusal=TargetRefusal,
    attach=StreamAttach,
    detach=StreamDetach,
    push=StreamPush,
    drain=DrainNotice,
)
