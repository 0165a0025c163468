"""A randomized fault soak: real balancers, faults from outside them.

``plans`` draws the faults of a seed, ``world`` runs the balancers before
stand-ins of clients, targets, routers and store, ``promises`` judges what
these saw.  ``python -m soak --help``.
"""
