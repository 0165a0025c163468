"""Liftmount: a layer-4 load balancer and its decision logic as a library.

The public modules are ``client``, the client library, and the decision
logic, which does no I/O: ``clocks``, ``configuration``, ``errors``,
``homes``, ``leases``, ``membership``, ``placement``, ``routing``,
``stalls``, ``tokens``, ``verdicts`` and ``windows``.  Everything below
``_internal`` is private and may change without notice.
"""

from importlib import import_module

__all__ = ('Outcome', 'Reason', 'Verdict')


def __getattr__(name):
    # Imported on first access (PEP 562) to keep daemon startup short.
    if name in __all__:
        return getattr(import_module('liftmount.verdicts'), name)
    raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
