"""Decide how much memory and how many descriptors callers may occupy.

Each HTTP listener has one budget. It counts the bytes of incomplete requests,
of requests that are handled and of responses that nobody reads, over all of
its connections. When a bound is exceeded, it names the connections to close:
those that have sent least recently. It also names the connections whose time
is up. The HTTP server of the runtime reports what is received and closes the
connections that are named.
"""

import collections
import dataclasses
import enum
import math

# Part of the memory of the machine that callers may occupy; the rest is for
# the idle process, its state, the connections themselves and decoding.
MEMORY_SHARE = 1 / 8
# Descriptors of the process that are for files and the reactor.
RESERVED_FDS = 200
# Fewest connections of a listener, whatever the descriptors allow.
MIN_CONNECTIONS = 8
# Memory of a header line besides its bytes; measured: up to 180 bytes.
LINE_BYTES = 200
# Memory of a handled request, as a multiple of its body: a job of 256 KiB was
# measured to hold four times its body, and its message to the owner is a copy.
HANDLED_FACTOR = 8
# The same for a body of many small items, up to a limit: 256 steps without a
# field take 780 bytes, and were measured to hold 62 KB.
SMALL_FACTOR = 80
MAX_SMALL_BYTES = 128 * 1024
# Part of the budget that handled requests may fill, which leaves room to
# receive others; and the largest handled request that may use the rest.
HANDLED_SHARE = 3 / 4
SMALL_BYTES = 192 * 1024
# Time for which a handled request counts after its connection was lost, in
# seconds: its handler may still wait for the owner of the jobs.
ABANDONED_S = 4.0
# Time for which input is discarded after a refusal, so that the caller can
# read the response before the connection is reset, in seconds.
LINGER_S = 1.0
# Memory of trailers, as a multiple of their bytes: the parser keeps an object
# for each line. Measured: 12 for lines of six bytes.
TRAILER_FACTOR = 16
# Bytes on the wire of a body, as a multiple of the limit of the body: a chunk
# of one byte takes six. Longer chunk extensions are refused.
FRAMING_FACTOR = 8
# Requests of one connection that are handled before others get their turn. A
# read of 16 KiB has up to 900 small requests, which take 100 ms.
TURN_REQUESTS = 32


class Phase(enum.IntEnum):
    """Define what a connection is waiting for."""

    # The first byte of a request.
    IDLE = 0
    # The end of the request head.
    HEAD = 1
    # The end of the body.
    BODY = 2
    # The response of the handler.
    HANDLED = 3
    # The caller, who has to read a response.
    UNREAD = 4
    # The caller, who has to close the refused connection.
    REFUSED = 5
    # Its turn, as it has used up the one before; requests are received.
    TURN = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Store the limits of one request."""

    # Largest request head, in bytes.
    head_bytes: int = 16384
    # Largest body, in bytes.
    body_bytes: int = 262144
    # Time from the first byte of a request to the end of its head, in seconds.
    head_s: float = 3.0
    # Time without a byte from the caller, in seconds.
    idle_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Store the bounds of a listener over all connections."""

    # Memory of all requests, in bytes.
    total_bytes: int
    connections: int


def derive_bounds(memory_mb: float, max_fds: int, share: float) -> Bounds:
    """Return the bounds of a listener with a share of the descriptors."""
    return Bounds(
        int(memory_mb * 1024 * 1024 * MEMORY_SHARE),
        derive_connections(max_fds, share),
    )


def derive_connections(max_fds: int, share: float) -> int:
    """Return the connections of a listener with a share of descriptors."""
    sockets = max(0, max_fds - RESERVED_FDS)
    return max(MIN_CONNECTIONS, int(sockets * share))


def count_head(size: int, lines: int) -> int:
    """Return the memory of a request head."""
    return size + lines * LINE_BYTES


def count_handled(body: int) -> int:
    """Return the memory of a body while its request is handled."""
    return body * HANDLED_FACTOR + min(body * SMALL_FACTOR, MAX_SMALL_BYTES)


@dataclasses.dataclass(eq=False, slots=True)
class Account:
    """Store what the budget knows about one connection."""

    phase: Phase = Phase.IDLE
    # Memory that is counted, in bytes.
    held: int = 0
    # Time at which the phase ends.
    until: float = math.inf
    # Requests that were handled in this turn.
    served: int = 0


class Budget:
    """Count what the connections of a listener occupy."""

    def __init__(self, bounds: Bounds, limits: Limits) -> None:
        self.bounds = bounds
        self.set_limits(limits)
        # Memory that is counted, and its part for handled requests, in bytes.
        self.total = 0
        self.handled = 0
        # The connection that has sent least recently comes first.
        self._accounts: collections.OrderedDict[Account, None] = (
            collections.OrderedDict()
        )
        # Connections that wait for a turn, the longest wait first.
        self._waiting: collections.OrderedDict[Account, None] = (
            collections.OrderedDict()
        )
        # End and size of each handled request without a connection.
        self._abandoned: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def set_limits(self, limits: Limits) -> None:
        """Set the limits of the phases that begin from now on."""
        self.limits = limits
        # Longest time of each phase, in seconds.
        self._waits = {
            Phase.IDLE: limits.idle_s,
            Phase.HEAD: limits.head_s,
            Phase.BODY: limits.idle_s,
            Phase.HANDLED: math.inf,
            Phase.UNREAD: limits.idle_s,
            Phase.REFUSED: LINGER_S,
            Phase.TURN: math.inf,
        }

    def open(self, account: Account, now: float) -> None:
        """Add a connection."""
        self._accounts[account] = None
        self.enter(account, Phase.IDLE, now)

    def receive(self, account: Account, count: int, now: float) -> None:
        """Count received bytes."""
        if account not in self._accounts:
            return
        self._accounts.move_to_end(account)
        # A read is a turn, as the others were asked before it.
        account.served = 0
        if account.phase is Phase.IDLE:
            self.enter(account, Phase.HEAD, now)
        elif account.phase is Phase.BODY:
            account.until = now + self.limits.idle_s
        self.hold(account, account.held + count)

    def hold(self, account: Account, count: int) -> None:
        """Set the memory of a connection."""
        if account in self._accounts:
            self.total += count - account.held
            if account.phase is Phase.HANDLED:
                self.handled += count - account.held
            account.held = count

    def find_excess(self) -> list[Account]:
        """Return the connections to close, so that both bounds hold."""
        connections = len(self._accounts) - self.bounds.connections
        count = self.total - self.bounds.total_bytes
        if connections <= 0 and count <= 0:
            return []
        found: list[Account] = []
        for item in self._accounts:
            if connections <= 0 and count <= 0:
                break
            if item.phase is Phase.HANDLED:
                continue
            if connections > 0 or item.held > 0:
                found.append(item)
                connections -= 1
                count -= item.held
        return found

    def handle(self, account: Account, count: int, now: float) -> bool:
        """Count a complete request; return False if it does not fit."""
        if account not in self._accounts:
            return False
        allowed = self.bounds.total_bytes
        if count > SMALL_BYTES:
            allowed = int(allowed * HANDLED_SHARE)
        # One request alone is always handled.
        if self.handled and self.handled + count > allowed:
            return False
        self.hold(account, 0)
        self.enter(account, Phase.HANDLED, now)
        self.hold(account, count)
        return True

    def finish(self, account: Account, count: int, now: float) -> None:
        """Note the end of a handled request; `count` bytes are left."""
        account.served += 1
        if account in self._accounts and account.phase is Phase.HANDLED:
            self.hold(account, 0)
            self.enter(account, Phase.HEAD if count else Phase.IDLE, now)
            self.hold(account, count)

    def enter(self, account: Account, phase: Phase, now: float) -> None:
        """Begin a phase of a connection."""
        account.phase = phase
        account.until = now + self._waits[phase]

    def close(self, account: Account, now: float) -> None:
        """Remove a connection; a request that is handled still counts."""
        if account not in self._accounts:
            return
        del self._accounts[account]
        self._waiting.pop(account, None)
        if account.phase is Phase.HANDLED and account.held:
            self._abandoned.append((now + ABANDONED_S, account.held))
        else:
            self.total -= account.held
        account.held = 0

    def end_turn(self, account: Account, now: float) -> bool:
        """Return whether a connection has to wait for its next turn."""
        if account.served < TURN_REQUESTS or account not in self._accounts:
            return False
        self.enter(account, Phase.TURN, now)
        self._waiting[account] = None
        return True

    def begin_turn(self, now: float) -> Account | None:
        """Begin the turn of the connection that has waited longest."""
        while self._waiting:
            account, _ = self._waiting.popitem(last=False)
            if account.phase is Phase.TURN:
                account.served = 0
                self.enter(account, Phase.HEAD, now)
                return account
        return None

    def find_expired(self, now: float) -> list[Account]:
        """Return the connections whose time is up."""
        while self._abandoned and self._abandoned[0][0] <= now:
            _, count = self._abandoned.popleft()
            self.total -= count
            self.handled -= count
        return [a for a in self._accounts if a.until <= now]

    @property
    def waiting(self) -> int:
        """Return the number of connections that wait for a turn."""
        return len(self._waiting)

    @property
    def busy(self) -> bool:
        """Return whether `find_expired` has to be called again."""
        return bool(self._accounts or self._abandoned)
