"""Templates, teams, and the configuration computed from them.

``parse_template`` and ``parse_team`` read documents; ``ViewBuilder``
computes a ``ConfigurationView`` from the objects in the store, whose
versions only increase.  ``in_force`` reports whether all balancers hold a
version.
"""

from liftmount._internal.decisions.claims import ClaimConflict
from liftmount._internal.decisions.claims import in_force
from liftmount._internal.decisions.claims import WriteClaim
from liftmount._internal.decisions.rollout import ConfigurationView
from liftmount._internal.decisions.rollout import ObjectStore
from liftmount._internal.decisions.rollout import ViewBuilder
from liftmount._internal.models.configuration import parse_team
from liftmount._internal.models.configuration import parse_template
from liftmount._internal.models.configuration import resolve_services
from liftmount._internal.models.configuration import Service
from liftmount._internal.models.configuration import ServiceTemplate
from liftmount._internal.models.configuration import Target
from liftmount._internal.models.configuration import Team
from liftmount._internal.models.configuration import Template
from liftmount._internal.models.feeds import StoredObject
from liftmount._internal.models.objects import Claim
from liftmount._internal.models.objects import DomainStatus
from liftmount._internal.models.problems import Problem

__all__ = (
    'Claim',
    'ClaimConflict',
    'ConfigurationView',
    'DomainStatus',
    'in_force',
    'ObjectStore',
    'parse_team',
    'parse_template',
    'Problem',
    'resolve_services',
    'Service',
    'ServiceTemplate',
    'StoredObject',
    'Target',
    'Team',
    'Template',
    'ViewBuilder',
    'WriteClaim',
)
