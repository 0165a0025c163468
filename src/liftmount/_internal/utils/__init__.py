"""Utilities: logs, counters, documents, sockets."""
