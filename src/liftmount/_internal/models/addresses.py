"""IP addresses with ports, as value types."""

from functools import lru_cache

from attrs import frozen

from liftmount._internal.utils.raw_sockets import AF_INET
from liftmount._internal.utils.raw_sockets import AF_INET6
from liftmount._internal.utils.raw_sockets import inet_ntop
from liftmount._internal.utils.raw_sockets import inet_pton

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


@frozen
class Endpoint:
    """An IP address and a port; never a host name."""

    ip: str
    port: int

    def __str__(self) -> str:
        host = f'[{self.ip}]' if ':' in self.ip else self.ip
        return f'{host}:{self.port}'

    def socket_address(self):
        """Return the ``(ip, port)`` pair that the socket module expects."""
        return (self.ip, self.port)


@lru_cache(maxsize=65_536)
def parse_endpoint(text: str) -> Endpoint:
    """Parse ``IP:PORT`` or ``[IPV6]:PORT``.

    Raises ValueError with a message for the user on anything else.
    """
    host, separator, port_text = text.rpartition(':')
    is_number = port_text.isascii() and port_text.isdecimal()
    if not separator or not is_number or len(port_text) > MAX_PORT_DIGITS:
        raise ValueError(f'{text!r} is not IP:PORT')
    port = int(port_text)
    if port > MAX_PORT:
        raise ValueError(f'port {port} is above {MAX_PORT}')
    return Endpoint(_normalize_ip(host.strip('[]')), port)


def _normalize_ip(ip):
    family = AF_INET6 if ':' in ip else AF_INET
    try:
        return inet_ntop(family, inet_pton(family, ip))
    except OSError:
        raise ValueError(f'{ip!r} is not an IP address') from None
