"""The flows whose home is this balancer."""

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

    ``acknowledged_sequence`` and ``pushed_sequence`` are sequence numbers of a stream: what
    the caller has, and the highest handed to it.
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
    """Flows by nonce, and by caller and flow id."""

    max_flows: int
    idle_ms: int
    flows: dict[int, Flow] = Factory(dict)
    by_key: dict = Factory(dict)
    _to_check: list = Factory(list)

    def __len__(self) -> int:
        return len(self.flows)

    def is_full(self) -> bool:
        """Tell whether no further flow is taken."""
        return len(self.flows) >= self.max_flows

    def add(self, flow: Flow) -> None:
        """Take a new flow."""
        self.flows[flow.nonce] = flow
        self.by_key[flow.caller, flow.flow_id] = flow.nonce

    def get(self, nonce: int) -> Flow | None:
        """Return the flow of a nonce, or None when unknown here."""
        return self.flows.get(nonce)

    def find(self, caller: Endpoint, flow_id: bytes) -> Flow | None:
        """Return the newest flow that a caller opened under an id."""
        nonce = self.by_key.get((caller, flow_id))
        return None if nonce is None else self.flows.get(nonce)

    def remove(self, nonce: int) -> Flow | None:
        """Forget a flow; its token is refused from now on."""
        flow = self.flows.pop(nonce, None)
        if flow is None:
            return None
        key = (flow.caller, flow.flow_id)
        if self.by_key.get(key) == nonce:
            del self.by_key[key]
        return flow

    def update_caller(self, flow: Flow, caller: Endpoint) -> None:
        """Note that a caller now sends from another address."""
        if flow.caller == caller:
            return
        old_key = (flow.caller, flow.flow_id)
        if self.by_key.get(old_key) == flow.nonce:
            del self.by_key[old_key]
        flow.caller = caller
        self.by_key[caller, flow.flow_id] = flow.nonce

    def find_idle(self, now_ms: int) -> list[Flow]:
        """Return idle flows among the next slice to be checked."""
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
