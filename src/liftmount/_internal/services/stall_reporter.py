"""Tells members of targets that stall, and hears of them."""

from liftmount._internal.decisions import stall_reports
from liftmount._internal.models.peer_messages import decode_stall_report
from liftmount._internal.models.peer_messages import encode_stall_report


class StallReporter:
    """Carries out what ``decisions/stall_reports.py`` decides.

    ``send(datagram, names)`` sends to members; ``eject(action)`` hears
    which target gets no new flows.
    """

    def __init__(self, name, send, eject, log, counters):
        self._state = stall_reports.StallReportState(name)
        self._send = send
        self._eject = eject
        self._log = log
        self._counters = counters

    def set_peers(self, names: tuple[str, ...]) -> None:
        """Take over who else is there."""
        self._state.peers = names

    def receive(self, datagram: bytes, now_ms: int) -> None:
        """Take over what a member tells; raises PacketError."""
        self._counters.count('doubts_heard')
        event = stall_reports.StallReportReceived(
            decode_stall_report(datagram), now_ms
        )
        self.decide(event)

    def decide(self, event) -> None:
        """Decide on a stall, on what a member told, or on time passed."""
        for action in stall_reports.decide(self._state, event):
            match action:
                case stall_reports.SendStallReport(doubt, peers):
                    self._counters.count('doubts_told', len(peers))
                    self._send(encode_stall_report(doubt), peers)
                case stall_reports.EjectTarget():
                    self._log.write(
                        'targets',
                        'held_out',
                        target=action.target,
                        for_ms=action.until_ms - event.now_ms,
                        sources=action.sources,
                    )
                    self._eject(action)
