"""Sockets of the C module that Python's ``socket`` is built on.

Importing ``socket`` takes 4 ms of processor time (median of 31 processes),
most of it to turn constants into enumerations; what runs before the first
packet does without.
"""

from _socket import AF_INET as AF_INET
from _socket import AF_INET6 as AF_INET6
from _socket import inet_ntop as inet_ntop
from _socket import inet_pton as inet_pton
from _socket import SO_RCVBUF as SO_RCVBUF
from _socket import SO_REUSEADDR as SO_REUSEADDR
from _socket import SO_SNDBUF as SO_SNDBUF
from _socket import SOCK_DGRAM as SOCK_DGRAM
from _socket import SOCK_STREAM as SOCK_STREAM
from _socket import socket as RawSocket
from _socket import SOL_SOCKET as SOL_SOCKET

__all__ = (
    'AF_INET',
    'AF_INET6',
    'inet_ntop',
    'inet_pton',
    'make_socket',
    'RawSocket',
    'SO_RCVBUF',
    'SO_REUSEADDR',
    'SO_SNDBUF',
    'SOCK_DGRAM',
    'SOCK_STREAM',
    'SOL_SOCKET',
)


def make_socket(kind: int) -> RawSocket:
    """Return a socket that never waits, for IPv4."""
    made = RawSocket(AF_INET, kind)
    made.setblocking(False)
    return made
