"""The caller library: requests with verdicts, and streams that go on."""

from liftmount._internal.network.caller_flow import StreamEnded
from liftmount._internal.network.caller_flow import StreamEvent
from liftmount._internal.network.client import Client
from liftmount._internal.network.stream import Stream

__all__ = ('Client', 'Stream', 'StreamEnded', 'StreamEvent')
