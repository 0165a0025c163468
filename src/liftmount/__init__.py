"""Liftmount: a layer-4 load balancer, and its decisions as a library.

The public modules are ``client`` (for callers) and the decisions, which
are pure: ``clocks``, ``configuration``, ``errors``, ``homes``, ``leases``,
``membership``, ``placement``, ``routing``, ``tokens``, ``verdicts`` and
``windows``.  What lies below ``_internal`` may change at any time.
"""

from liftmount.verdicts import Outcome
from liftmount.verdicts import Reason
from liftmount.verdicts import Verdict

__all__ = ('Outcome', 'Reason', 'Verdict')
