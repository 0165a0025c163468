"""The home of a flow: the balancer that opened it and sequences requests.

``decide_request`` and ``decide_stream`` take a ``HomeState`` and an event
of ``events`` and return a list of ``actions``; both modify the state.  A
request that is not idempotent runs at most once; a stream continues when
its target is replaced.  ``moves`` returns the rebind requests for flows
that have to move, ``expire`` removes idle flows.
"""

from liftmount._internal.decisions.home import HomeState
from liftmount._internal.decisions.home import make_home_state
from liftmount._internal.decisions.requests import decide as decide_request
from liftmount._internal.decisions.streams import decide as decide_stream
from liftmount._internal.decisions.streams import expire
from liftmount._internal.decisions.streams import moves
from liftmount._internal.models import actions
from liftmount._internal.models import events
from liftmount._internal.models.settings import LimitSettings

__all__ = (
    'actions',
    'decide_request',
    'decide_stream',
    'events',
    'expire',
    'HomeState',
    'LimitSettings',
    'make_home_state',
    'moves',
)
