"""Define the registry of commands that adapters add to `kingcuprouter`.

The command line does not depend on an adapter; the modules that are installed
beside it register their commands here.
"""

from collections import abc
import importlib
import importlib.util

from kcr_core import registry

# Modules that register commands, if their package is installed.
MODULES = ('kcr_platform.check_command',)

COMMANDS: registry.Registry[abc.Callable[..., None]] = registry.Registry(
    'command'
)


def load() -> dict[str, abc.Callable[..., None]]:
    """Import the installed modules; return their commands by name."""
    for name in MODULES:
        if importlib.util.find_spec(name.partition('.')[0]) is not None:
            importlib.import_module(name)
    return dict(COMMANDS.items())
