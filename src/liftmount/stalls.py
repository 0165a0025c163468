"""Detection of targets that take requests and give no answer."""

from liftmount._internal.decisions.stall_reports import decide
from liftmount._internal.decisions.stall_reports import EjectTarget
from liftmount._internal.decisions.stall_reports import SendStallReport
from liftmount._internal.decisions.stall_reports import StallReportReceived
from liftmount._internal.decisions.stall_reports import StallReportState
from liftmount._internal.decisions.stall_reports import StallSeen
from liftmount._internal.decisions.stalls import Stalled
from liftmount._internal.decisions.stalls import StallWatch
from liftmount._internal.models.peer_messages import StallReport

# Earlier names of the same classes.
Doubt = StallReport
DoubtArrived = StallReportReceived
DoubtState = StallReportState
HoldOut = EjectTarget
TellDoubt = SendStallReport

__all__ = (
    'decide',
    'Doubt',
    'DoubtArrived',
    'DoubtState',
    'EjectTarget',
    'HoldOut',
    'SendStallReport',
    'Stalled',
    'StallReport',
    'StallReportReceived',
    'StallReportState',
    'StallSeen',
    'StallWatch',
    'TellDoubt',
)
