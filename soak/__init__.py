"""Soak test: real balancer processes under randomized faults.

``faults`` draws the faults of a seed, ``fault_injection`` injects them and
``deployment`` runs the balancers with simulated clients, targets, routers
and store.  ``promises`` checks what clients and targets observed.  See
``python -m soak --help``.
"""
