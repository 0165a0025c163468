"""What is decided, without sockets, clocks or randomness of its own.

Most modules have ``decide(state, event) -> actions``; docs/ARCHITECTURE.md
and docs/PLATFORM.md say which question each answers.
"""
