"""Services of a balancer; each owns its sockets and its state.

Two programs are composed of them.  ``entry`` runs a balancer on the
platform, from ``packets``, ``feeds``, ``group``, ``probes``, ``readiness``
and ``metrics_page``.  ``cli/daemon.py`` runs liftmountd, which uses
liftmount's own protocol, from ``data``, ``targets``, ``control``,
``platform``, ``peers``, ``configuration`` and ``metrics``.
"""
