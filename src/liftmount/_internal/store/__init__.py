"""What the product does with a store of objects, whoever runs it.

``interface`` is what a store has to offer, ``writing`` resolves writes
whose answer was lost, ``instances`` and ``statuses`` read objects.
"""
