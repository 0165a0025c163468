"""Targets that take requests and give no answer."""

from liftmount._internal.decisions.stall_reports import decide
from liftmount._internal.decisions.stall_reports import EjectTarget as HoldOut
from liftmount._internal.decisions.stall_reports import (
    SendStallReport as TellDoubt,
)
from liftmount._internal.decisions.stall_reports import (
    StallReportReceived as DoubtArrived,
)
from liftmount._internal.decisions.stall_reports import (
    StallReportState as DoubtState,
)
from liftmount._internal.decisions.stall_reports import StallSeen
from liftmount._internal.decisions.stalls import Stalled
from liftmount._internal.decisions.stalls import StallWatch
from liftmount._internal.models.peer_messages import StallReport as Doubt

__all__ = (
    'decide',
    'Doubt',
    'DoubtArrived',
    'DoubtState',
    'HoldOut',
    'Stalled',
    'StallSeen',
    'StallWatch',
    'TellDoubt',
)
