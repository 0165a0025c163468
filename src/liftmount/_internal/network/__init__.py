"""Sockets and frames: UDP, HTTP, what daemons, targets and callers say."""
