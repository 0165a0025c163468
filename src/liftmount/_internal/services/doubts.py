"""Tells members of targets that stall, and hears of them."""

from liftmount._internal.decisions import doubts
from liftmount._internal.models.knowledge import decode_doubt
from liftmount._internal.models.knowledge import encode_doubt


class DoubtTeller:
    """Carries out what ``decisions/doubts.py`` decides.

    ``send(datagram, names)`` sends to members; ``hold_out(action)`` hears
    which target gets no new flows.
    """

    def __init__(self, name, send, hold_out, log, counters):
        self._state = doubts.DoubtState(name)
        self._send = send
        self._hold_out = hold_out
        self._log = log
        self._counters = counters

    def set_peers(self, names: tuple[str, ...]) -> None:
        """Take over who else is there."""
        self._state.peers = names

    def hear(self, datagram: bytes, now_ms: int) -> None:
        """Take over what a member tells; raises PacketError."""
        self._counters.count('doubts_heard')
        event = doubts.DoubtArrived(decode_doubt(datagram), now_ms)
        self.decide(event)

    def decide(self, event) -> None:
        """Decide on a stall, on what a member told, or on time passed."""
        for action in doubts.decide(self._state, event):
            match action:
                case doubts.TellDoubt(doubt, peers):
                    self._counters.count('doubts_told', len(peers))
                    self._send(encode_doubt(doubt), peers)
                case doubts.HoldOut():
                    self._log.write(
                        'targets',
                        'held_out',
                        target=action.target,
                        for_ms=action.until_ms - event.now_ms,
                        sources=action.sources,
                    )
                    self._hold_out(action)
