"""The table of flows whose home is this balancer."""

from attrs import define
from attrs import Factory

from liftmount._internal.decisions.window import Window
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.configuration import Service

STREAM_IDLE_MS = 60_000
MAX_IDLE_CHECKS = 2_000


@define
class Flow:
    """One flow at its home.

    ``name`` is the name of a stream, ``acknowledged_sequence`` the last
    sequence number that its caller confirmed, and ``pushed_sequence`` the
    highest one sent to the caller.
    """

    nonce: int
    service: Service
    caller: Endpoint
    flow_id: bytes
    last_seen_ms: int
    target: str = ''
    target_incarnation: int = 0
    window: Window | None = None
    name: bytes = b''
    acknowledged_sequence: int = 0
    pushed_sequence: int = 0
    last_pushed_ms: int = 0


@define
class FlowTable:
    """Flows by nonce, and by caller and flow id.

    Holds at most ``max_flows``.  A flow is idle ``idle_ms`` after its last
    packet, a stream after at most ``STREAM_IDLE_MS``.
    """

    max_flows: int
    idle_ms: int
    flows: dict[int, Flow] = Factory(dict)
    by_key: dict = Factory(dict)
    _to_check: list = Factory(list)

    def __len__(self) -> int:
        return len(self.flows)

    def is_full(self) -> bool:
        """Return whether the table has no room for another flow."""
        return len(self.flows) >= self.max_flows

    def add(self, flow: Flow) -> None:
        """Add a new flow."""
        self.flows[flow.nonce] = flow
        self.by_key[flow.caller, flow.flow_id] = flow.nonce

    def get(self, nonce: int) -> Flow | None:
        """Return the flow with a nonce, or None if there is none."""
        return self.flows.get(nonce)

    def find(self, caller: Endpoint, flow_id: bytes) -> Flow | None:
        """Return the newest flow that a caller opened with ``flow_id``."""
        nonce = self.by_key.get((caller, flow_id))
        return None if nonce is None else self.flows.get(nonce)

    def remove(self, nonce: int) -> Flow | None:
        """Remove and return a flow; its token is refused from now on."""
        flow = self.flows.pop(nonce, None)
        if flow is None:
            return None
        key = (flow.caller, flow.flow_id)
        if self.by_key.get(key) == nonce:
            del self.by_key[key]
        return flow

    def update_caller(self, flow: Flow, caller: Endpoint) -> None:
        """Record the address that a flow's caller now sends from."""
        if flow.caller == caller:
            return
        old_key = (flow.caller, flow.flow_id)
        if self.by_key.get(old_key) == flow.nonce:
            del self.by_key[old_key]
        flow.caller = caller
        self.by_key[caller, flow.flow_id] = flow.nonce

    def find_idle(self, now_ms: int) -> list[Flow]:
        """Return the idle flows among the next ``MAX_IDLE_CHECKS``.

        Successive calls cover the whole table.
        """
        if not self._to_check:
            self._to_check = list(self.flows)
        found = []
        for _ in range(min(MAX_IDLE_CHECKS, len(self._to_check))):
            flow = self.flows.get(self._to_check.pop())
            if flow is not None and self._is_idle(flow, now_ms):
                found.append(flow)
        return found

    def _is_idle(self, flow, now_ms):
        limit_ms = self.idle_ms
        if flow.service.mode == 'stream':
            limit_ms = min(limit_ms, STREAM_IDLE_MS)
        return now_ms - flow.last_seen_ms >= limit_ms
