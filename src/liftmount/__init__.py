"""Liftmount: a layer-4 load balancer, and its decisions as a library.

The public modules are ``client`` (for callers) and the decisions, which
are pure: ``clocks``, ``configuration``, ``errors``, ``homes``,
``leases``, ``membership``, ``placement``, ``routing``, ``tokens``,
``verdicts`` and ``windows``.  What lies below ``_internal`` may change at
any time.
"""

from importlib import import_module

__all__ = ('Outcome', 'Reason', 'Verdict')


def __getattr__(name):
    # Imported when asked for: a daemon on a small instance serves sooner.
    if name in __all__:
        return getattr(import_module('liftmount.verdicts'), name)
    raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
