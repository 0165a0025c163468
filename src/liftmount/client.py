"""The caller library: requests with verdicts, and streams that go on."""

from liftmount._internal.network.client import Client
from liftmount._internal.network.client import Stream
from liftmount._internal.network.client import StreamEnded
from liftmount._internal.network.client import StreamEvent

__all__ = ('Client', 'Stream', 'StreamEnded', 'StreamEvent')
