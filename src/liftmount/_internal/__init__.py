"""Everything that is not public; import from ``liftmount`` instead.

``decisions`` is pure, ``services`` are the tasks that own sockets and
state, ``models`` are the types they share, ``network`` and ``store`` speak
to others, ``cli`` and ``commands`` are the programs, ``utils`` the rest.
"""
