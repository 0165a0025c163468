"""Small helpers without a part of their own: logs, counters, documents."""
