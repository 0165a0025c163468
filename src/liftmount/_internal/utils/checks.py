"""Validators of single values: each returns a message, None if valid."""

from ipaddress import ip_network
import re

NAME_PATTERN = re.compile(r'[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?')


def name(value: str) -> str | None:
    """Accept at most 63 lower-case letters, digits and hyphens."""
    if NAME_PATTERN.fullmatch(value):
        return None
    return 'expected at most 63 lower-case letters, digits and hyphens'


def between(low: int, high: int):
    """Return a check that accepts numbers from ``low`` to ``high``."""

    def check(value):
        if low <= value <= high:
            return None
        return f'expected {low} to {high}'

    return check


def one_of(*choices: str):
    """Return a check that accepts one of ``choices``."""

    def check(value):
        if value in choices:
            return None
        return 'expected one of ' + ', '.join(choices)

    return check


def prefixes(values) -> str | None:
    """Accept a list of IP prefixes such as 10.1.0.0/16."""
    for value in values:
        try:
            ip_network(value)
        except ValueError as error:
            return str(error)
    return None
