"""Sends and receives reports of stalled targets."""

from liftmount._internal.decisions import stall_reports
from liftmount._internal.models.peer_messages import decode_stall_report
from liftmount._internal.models.peer_messages import encode_stall_report


class StallReporter:
    """Executes the decisions of ``decisions/stall_reports.py``.

    ``send(datagram, names)`` sends to members; ``eject(action)`` is called
    for each target that is to get no new flows.
    """

    def __init__(self, name, send, eject, log, counters):
        self._state = stall_reports.StallReportState(name)
        self._send = send
        self._eject = eject
        self._log = log
        self._counters = counters

    def set_peers(self, names: tuple[str, ...]) -> None:
        """Set the names of the live members."""
        self._state.peers = names

    def receive(self, datagram: bytes, now_ms: int) -> None:
        """Process a report from a member; raises PacketError."""
        self._counters.count('doubts_heard')
        event = stall_reports.StallReportReceived(
            decode_stall_report(datagram), now_ms
        )
        self.decide(event)

    def decide(self, event) -> None:
        """Process a stall, a received report or a tick."""
        for action in stall_reports.decide(self._state, event):
            match action:
                case stall_reports.SendStallReport(report, peers):
                    self._counters.count('doubts_told', len(peers))
                    self._send(encode_stall_report(report), peers)
                case stall_reports.EjectTarget():
                    self._log.write(
                        'targets',
                        'held_out',
                        target=action.target,
                        for_ms=action.until_ms - event.now_ms,
                        sources=action.sources,
                    )
                    self._eject(action)
