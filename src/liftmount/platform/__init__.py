"""The adapter to the users' platform: it translates and decides nothing.

``heads`` reads and writes the heads of packets, ``store`` speaks to the
platform's store, ``objects`` turns what lies there into the project's
types, ``settings`` reads the settings of a process, and ``__main__``
starts it.  Nothing outside this folder knows the platform's names.
"""

__all__ = ()
