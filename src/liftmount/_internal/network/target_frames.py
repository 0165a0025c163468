"""Frames between a home and a target, over one websocket connection."""

from attrs import frozen

from liftmount._internal.network.frames import FrameCodec


@frozen
class TargetHello:
    """The target's first frame: its identity, verified before any other.

    ``is_draining`` means that it takes no new work from the start.
    """

    name: str
    team: str
    pool: str
    incarnation: int
    is_draining: bool = False


@frozen
class TargetRequest:
    """Run a request; the home sends each request id only once."""

    request_id: int
    service: str
    deadline_ms: int
    priority: str
    body: bytes


@frozen
class TargetCancel:
    """The caller no longer waits for the request."""

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
    """Start pushing the stream ``name``, after event ``sequence``."""

    nonce: int
    service: str
    name: bytes
    sequence: int


@frozen
class StreamDetach:
    """Stop pushing the stream."""

    nonce: int


@frozen
class StreamPush:
    """One event of a stream."""

    nonce: int
    sequence: int
    body: bytes


@frozen
class DrainNotice:
    """The target begins to drain, or cancels its drain."""

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
