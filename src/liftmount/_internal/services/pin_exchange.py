"""Tells other members the targets of flows, and asks them."""

from collections import defaultdict

from liftmount._internal.clock import Clock
from liftmount._internal.decisions.flow_pins import ASKED_MEMBERS
from liftmount._internal.decisions.flow_pins import find_pinned
from liftmount._internal.decisions.flow_pins import KEEPERS
from liftmount._internal.decisions.flow_pins import MemberRanking
from liftmount._internal.decisions.flow_pins import PinTable
from liftmount._internal.decisions.flow_pins import ShareBudget
from liftmount._internal.decisions.flow_table import ForwardingState
from liftmount._internal.models.flow_messages import FlowPin
from liftmount._internal.models.flow_messages import PinNeeded
from liftmount._internal.models.flow_messages import PinsReceived
from liftmount._internal.models.flow_messages import SharePins
from liftmount._internal.models.pin_messages import decode_pin_request
from liftmount._internal.models.pin_messages import decode_pins
from liftmount._internal.models.pin_messages import encode_pin_request
from liftmount._internal.models.pin_messages import encode_pins
from liftmount._internal.models.pin_messages import PinRequest

# Pins of some 40 bytes each in one datagram.
PINS_PER_DATAGRAM = 16


class PinExchange:
    """Sends and receives pins; ``state`` is that of the packet path.

    ``send(datagram, names)`` sends to members, ``post(message)`` passes what
    they say to the packet path.
    """

    def __init__(
        self, name, state: ForwardingState, send, post, clock: Clock, counters
    ):
        state.pins = PinTable(state.flow_max_age_ms)
        self._name = name
        self._state = state
        self._send = send
        self._post = post
        self._clock = clock
        self._counters = counters
        self._ranking = MemberRanking()
        self._budget = ShareBudget(filled_ms=clock.now_ms())

    def set_members(self, names: tuple[str, ...]) -> None:
        """Set the other members of the domain that are to keep pins."""
        self._ranking = MemberRanking(names)
        self._state.pins.peers = len(names)

    def handle(self, action: SharePins | PinNeeded) -> None:
        """Execute a decision of forwarding."""
        match action:
            case PinNeeded(flow):
                self._ask(flow)
            case SharePins(pins, is_last):
                self._share(pins, is_last)

    def _ask(self, flow):
        self._counters.count('pins_asked')
        request = encode_pin_request(PinRequest(self._name, flow))
        asked = self._ranking.first(flow, ASKED_MEMBERS)
        self._send(request, asked)

    def _share(self, pins, is_last):
        by_keeper = defaultdict(list)
        for pin in pins:
            if not is_last and not self._budget.take(self._clock.now_ms()):
                self._counters.count('refused.control_budget_spent')
                continue
            self._counters.count('pins_shared')
            for name in self._ranking.first(pin.flow, KEEPERS):
                by_keeper[name].append(pin)
        for name, kept in by_keeper.items():
            self._send_pins(kept, name)

    def _send_pins(self, pins, name):
        for first in range(0, len(pins), PINS_PER_DATAGRAM):
            part = pins[first : first + PINS_PER_DATAGRAM]
            self._send(encode_pins(part), (name,))

    def receive(self, datagram: bytes) -> None:
        """Process pins of a member; raises PacketError."""
        pins = decode_pins(datagram)
        self._counters.count('pins_received', len(pins))
        self._post(PinsReceived(pins, self._clock.now_ms()))

    def answer(self, datagram: bytes) -> None:
        """Answer a member's request for a pin; raises PacketError."""
        request = decode_pin_request(datagram)
        target = find_pinned(self._state, request.flow, self._clock.now_ms())
        pin = FlowPin(request.flow, target)
        self._send(encode_pins([pin]), (request.sender,))
