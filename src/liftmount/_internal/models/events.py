"""Events that the decisions of a flow's home take."""

from attrs import frozen

from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.configuration import Service


@frozen
class RequestArrived:
    """A whole request reached its home."""

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
    """A target finished a request: its whole answer."""

    request_id: int
    body: bytes
    now_ms: int


@frozen
class TargetRefused:
    """A target says that it did not run a request and never will."""

    request_id: int
    retry_after_ms: int
    cancelled: bool
    now_ms: int


@frozen
class RequestLost:
    """The connection failed; ``written`` unless it failed beforehand."""

    request_id: int
    written: bool
    now_ms: int


@frozen
class FlowAsked:
    """A caller asks for a flow, or for another in place of one it has.

    ``target`` with ``target_incarnation`` is the one to keep if possible.
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
    """A keepalive reached its home; pushes up to ``sequence`` arrived."""

    nonce: int
    caller: Endpoint
    sequence: int
    now_ms: int


@frozen
class CloseArrived:
    """A caller gave up a flow."""

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
