"""Events for the decisions of a flow's home."""

from attrs import frozen

from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.configuration import Service


@frozen
class RequestArrived:
    """A complete request arrived at its home."""

    nonce: int
    caller: Endpoint
    number: int
    deadline_ms: int
    body: bytes
    now_ms: int


@frozen
class CancelArrived:
    """A caller no longer waits for a request."""

    nonce: int
    number: int
    now_ms: int


@frozen
class TargetAnswered:
    """A target sent the complete answer to a request."""

    request_id: int
    body: bytes
    now_ms: int


@frozen
class TargetRefused:
    """A target reported that it did not and will not run a request.

    ``cancelled`` is set if the caller had cancelled the request.
    """

    request_id: int
    retry_after_ms: int
    cancelled: bool
    now_ms: int


@frozen
class RequestLost:
    """The connection to a target failed before the answer to a request.

    ``written`` is whether any of the request may have been written.
    """

    request_id: int
    written: bool
    now_ms: int


@frozen
class FlowAsked:
    """A caller asked to open a flow, or to replace one that it has.

    ``target`` and ``target_incarnation`` are to be kept if possible.
    """

    service: Service
    caller: Endpoint
    flow_id: bytes
    name: bytes
    sequence: int
    target: str
    target_incarnation: int
    nonce: int
    now_ms: int


@frozen
class KeepaliveArrived:
    """A keepalive arrived that acknowledges pushes up to ``sequence``."""

    nonce: int
    caller: Endpoint
    sequence: int
    now_ms: int


@frozen
class CloseArrived:
    """A caller closed a flow."""

    nonce: int
    now_ms: int


@frozen
class PushArrived:
    """A target pushed an event of a stream."""

    nonce: int
    target: str
    sequence: int
    body: bytes
    now_ms: int


@frozen
class StreamLost:
    """The connection that carried a stream failed."""

    nonce: int
    target: str
    now_ms: int
