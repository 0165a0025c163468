"""Sockets of ``_socket``, the C module below Python's ``socket``.

Importing ``socket`` is slow, as it converts constants to enumerations; the
code that runs before the first packet avoids it.
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
    """Return a non-blocking IPv4 socket."""
    made = RawSocket(AF_INET, kind)
    made.setblocking(False)
    return made
