"""Decision logic, free of input and output.

Most modules have ``decide(state, event) -> actions`` and use no sockets,
clocks or randomness of their own; docs/ARCHITECTURE.md and docs/PLATFORM.md
describe each.
"""
