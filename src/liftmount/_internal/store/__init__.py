"""What the product does with a store of objects, whoever runs it.

``interface`` is what a store has to offer, ``reader`` keeps up with what
it holds, ``writing`` resolves writes whose answer was lost, ``instances``
and ``statuses`` read objects.
"""
