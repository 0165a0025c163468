"""Client library: requests and streams over a balancer.

A request returns a :class:`~liftmount.Verdict`.  A stream continues when
its balancer or its target is replaced.
"""

from liftmount._internal.network.caller_flow import StreamEnded
from liftmount._internal.network.caller_flow import StreamEvent
from liftmount._internal.network.client import Client
from liftmount._internal.network.stream import Stream

__all__ = ('Client', 'Stream', 'StreamEnded', 'StreamEvent')
