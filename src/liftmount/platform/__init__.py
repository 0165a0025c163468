"""The adapter to the users' platform: it translates and decides nothing.

``heads`` reads and writes the heads of packets, ``store`` speaks to the
platform's store, ``feeds`` follows routes and targets in it, ``objects``
turns what lies there into the project's types, ``settings`` reads the
settings of a process, and ``__main__`` starts it.  ``programs`` is the
entry of the programs that keep their own objects in the store.  Nothing
outside this folder knows the platform's names.
"""

__all__ = ()
