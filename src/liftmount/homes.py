"""Homes of flows: requests run at most once, streams that go on.

``decide_request`` and ``decide_stream`` take a HomeState and an event and
return actions; both change the state they are given.
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
