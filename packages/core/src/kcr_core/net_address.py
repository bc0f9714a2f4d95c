"""Parse the network addresses of processes, `IP:PORT`.

Addresses come from settings, from the store, which other writers share, and
from other processes. Every list of addresses is filtered where it enters the
process, so that one malformed entry does not hide the others.
"""

from collections import abc
import dataclasses
import ipaddress

# Longest text of an address: four numbers of three digits and a port.
MAX_LENGTH = 21
MAX_PORT = 65_535
REMEDY = 'must be IP:PORT, for example 127.0.0.1:7000'


class BadAddress(ValueError):
    """Report a text that is not an IP address and a port."""


@dataclasses.dataclass(frozen=True, slots=True)
class NetAddress:
    """Locate a listening port."""

    # IPv4 address.
    host: str
    # Port; 0 stands for any free port where a process listens.
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


def parse(text: object, lowest_port: int = 1) -> NetAddress:
    """Return the address in a text; raise BadAddress."""
    if not isinstance(text, str) or len(text) > MAX_LENGTH:
        raise BadAddress(REMEDY)
    host, _, port = text.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
    except ValueError as exc:
        raise BadAddress(f'{text!r} has no IPv4 address; {REMEDY}') from exc
    if not (port.isascii() and port.isdigit()):
        raise BadAddress(f'{text!r} has no port; {REMEDY}')
    if not lowest_port <= int(port) <= MAX_PORT:
        raise BadAddress(
            f'port of {text!r} is not {lowest_port} to {MAX_PORT}'
        )
    return NetAddress(host, int(port))


def is_valid(text: object) -> bool:
    """Return whether a text is an address that can be dialed."""
    try:
        parse(text)
    except BadAddress:
        return False
    return True


def filter_valid(texts: abc.Iterable[str]) -> tuple[str, ...]:
    """Return the texts that are addresses, without the others."""
    return tuple(text for text in texts if is_valid(text))
