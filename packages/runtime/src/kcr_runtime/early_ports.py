"""Open ports before the modules that serve them are imported.

A peer that connects meanwhile waits for its answer instead of being refused.
The server that listens on the address later takes the socket over. This
module imports only the standard library, as it is imported first.
"""

import socket

# Connections that wait to be accepted.
BACKLOG = 50

# Listening sockets that no server has taken over, by address.
_SOCKETS: dict[str, socket.socket] = {}


def open_port(address: str) -> bool:
    """Listen on an address; return whether that was possible.

    The server that listens later reports what is wrong with the address.
    """
    host, _, port = address.rpartition(':')
    conn = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        conn.setblocking(False)
        conn.bind((host, int(port)))
        conn.listen(BACKLOG)
    except (OSError, OverflowError, ValueError):
        conn.close()
        return False
    _SOCKETS[address] = conn
    return True


def take(address: str) -> socket.socket | None:
    """Return the socket that listens on an address, if there is one."""
    return _SOCKETS.pop(address, None)
