"""Provide the registry, which decorators fill with named items.

Messages, records, policies and other behavior that varies register here under
the name by which settings, the wire or the log refer to them.
"""

from collections import abc
import dataclasses
import typing

T = typing.TypeVar('T')


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownName(Exception):
    """Report a name that is not registered."""

    # Kind of the registered items, for the error text.
    subject: str
    # Name that was looked up.
    name: str
    # Names that are registered.
    known: tuple[str, ...]

    def __str__(self) -> str:
        known = ', '.join(self.known)
        return f'unknown {self.subject} {self.name!r}; choose one of: {known}'


class Registry(typing.Generic[T]):
    """Map names to items that a decorator registers."""

    def __init__(self, subject: str) -> None:
        # Kind of the items, for error texts.
        self.subject = subject
        # Registered items by name.
        self._items: dict[str, T] = {}

    def register(self, name: str) -> abc.Callable[[T], T]:
        """Return a decorator that registers its argument as `name`."""

        def decorate(item: T) -> T:
            assert name not in self._items, (
                f'{self.subject} {name!r} is already registered'
            )
            self._items[name] = item
            return item

        return decorate

    def get(self, name: str) -> T:
        """Return the item called `name`; raise UnknownName if none is."""
        if name not in self._items:
            raise UnknownName(self.subject, name, self.names())
        return self._items[name]

    def names(self) -> tuple[str, ...]:
        """Return all registered names, sorted."""
        return tuple(sorted(self._items))

    def items(self) -> tuple[tuple[str, T], ...]:
        """Return all names with their items, sorted by name."""
        return tuple(sorted(self._items.items(), key=lambda pair: pair[0]))
