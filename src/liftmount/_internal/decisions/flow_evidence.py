"""Evidence on target health from the segments of flows.

Targets answer clients directly, so a balancer infers an answer from the
client's acknowledgements, and a missing answer from retransmissions.
"""

from liftmount._internal.decisions.flow_table import Flow
from liftmount._internal.decisions.flow_table import ForwardingState
from liftmount._internal.decisions.flow_table import note_work
from liftmount._internal.decisions.target_health import EvidenceKind
from liftmount._internal.decisions.target_health import TargetResponsive
from liftmount._internal.decisions.target_health import TargetUnresponsive
from liftmount._internal.models.segments import Segment

# Data repeated sooner was reordered on its path: clients retransmit after
# 200 ms.
RESEND_MS = 150
# Sequence numbers are modulo 2**32; a difference of half or more is negative.
SEQUENCE_MASK = 2**32 - 1
HALF_SEQUENCE = 2**31


def note_progress(
    state: ForwardingState, segment: Segment, flow: Flow, now_ms: int
) -> list:
    """Update a flow from a segment and return evidence on its target.

    The list holds a TargetResponsive, a TargetUnresponsive, or nothing.
    """
    if segment.acknowledgement != flow.acknowledged:
        flow.acknowledged = segment.acknowledgement
        _note_answer(state, flow, now_ms)
        _note_remote_progress(state, flow, now_ms)
        # Without new data the client receives an answer; with new data
        # another request began.
        _note_request(
            state, segment, flow, _note_new_data(segment, flow), now_ms
        )
        return [TargetResponsive(flow.target, now_ms)]
    if not segment.length_bytes:
        return []
    if _note_new_data(segment, flow):
        _note_request(state, segment, flow, True, now_ms)
        return []
    for_ms = now_ms - flow.working_ms
    if for_ms < RESEND_MS:
        return []
    return [
        TargetUnresponsive(
            flow.target, now_ms, EvidenceKind.DATA, flow.key, for_ms
        )
    ]


def _note_remote_progress(state, flow, now_ms):
    entry = state.tags.entries.get(flow.target)
    if entry is not None and entry.failure_domain != state.failure_domain:
        state.remote_progress_ms = now_ms


def _note_request(state, segment, flow, is_working, now_ms):
    note_work(state, flow, is_working, now_ms)
    if not is_working:
        return
    flow.request = segment
    if state.stalls is None:
        return
    entry = state.tags.entries.get(flow.target)
    if entry is not None:
        state.stalls.began(entry.service, flow, now_ms)


def _note_answer(state, flow, now_ms):
    if state.stalls is None or not flow.is_working:
        return
    entry = state.tags.entries.get(flow.target)
    if entry is not None:
        state.stalls.answered(entry.service, now_ms - flow.working_ms)


def _note_new_data(segment, flow):
    """Record new data of a segment; return False if there is none."""
    if not segment.length_bytes:
        return False
    end = (segment.sequence + segment.length_bytes) & SEQUENCE_MASK
    ahead = (end - flow.sent) & SEQUENCE_MASK
    if not 0 < ahead < HALF_SEQUENCE:
        return False
    flow.sent = end
    return True
