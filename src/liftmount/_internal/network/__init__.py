"""Sockets and wire formats: UDP, HTTP, frames, and the caller library."""
