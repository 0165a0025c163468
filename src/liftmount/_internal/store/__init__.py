"""Access to an object store, independent of its implementation.

``interface`` defines the protocol of a store client, ``reader`` follows
changes by lists and watches, ``writing`` makes conditional writes,
``instances`` and ``statuses`` read objects of these kinds.
"""
