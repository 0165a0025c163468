"""SWIM membership, ownership of pools, and the relay tree.

``decide`` takes a ``MembershipState`` and an event and returns actions.
``Ownership`` finds the member that owns a pool; ``relay_order`` and
``find_parent`` compute the tree that distributes configuration.
"""

from liftmount._internal.decisions.membership import BudgetSpent
from liftmount._internal.decisions.membership import decide
from liftmount._internal.decisions.membership import DigestDiffers
from liftmount._internal.decisions.membership import farewell
from liftmount._internal.decisions.membership import ListsDiffer
from liftmount._internal.decisions.membership import make_membership
from liftmount._internal.decisions.membership import MemberChanged
from liftmount._internal.decisions.membership import MembershipState
from liftmount._internal.decisions.membership import MembershipTimes
from liftmount._internal.decisions.membership import MessageArrived
from liftmount._internal.decisions.membership import Refuted
from liftmount._internal.decisions.membership import SendDatagram
from liftmount._internal.decisions.membership import Stalled
from liftmount._internal.decisions.membership import UnknownSender
from liftmount._internal.decisions.ownership import Ownership
from liftmount._internal.decisions.relay import find_parent
from liftmount._internal.decisions.relay import relay_order
from liftmount._internal.decisions.relay import SubtreeReports
from liftmount._internal.models.members import Member
from liftmount._internal.models.members import MemberStatus
from liftmount._internal.models.records import Tick

__all__ = (
    'BudgetSpent',
    'decide',
    'DigestDiffers',
    'farewell',
    'find_parent',
    'ListsDiffer',
    'make_membership',
    'Member',
    'MemberChanged',
    'MembershipState',
    'MembershipTimes',
    'MemberStatus',
    'MessageArrived',
    'Ownership',
    'Refuted',
    'relay_order',
    'SendDatagram',
    'Stalled',
    'SubtreeReports',
    'Tick',
    'UnknownSender',
)
