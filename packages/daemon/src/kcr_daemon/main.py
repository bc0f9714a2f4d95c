"""Start one role as a daemon: `kingcuprouterd ROLE [flags]`.

Entry point of the `kingcuprouterd` command. It imports only the package of
the requested role, and first disables optional libraries that the daemons do
not use, so that a process stays within its memory limit.
"""

import gc
import importlib
import os
import signal
import sys
import typing

# Module that registers the role, by role name.
MODULES = {'entry': 'kcr_entry.role', 'sidecar': 'kcr_sidecar.role'}
USAGE = f'usage: kingcuprouterd {{{",".join(MODULES)}}} [--help] [flags]'
# Exit status for a wrong command line, the same as that of argparse.
USAGE_EXIT = 2
# Libraries that Twisted, structlog, asyncio and hashlib import if they are
# installed. The daemons do not use TLS, and hashlib has built-in hash
# functions. Of the 64 MB that a daemon may use, pyOpenSSL takes 12 MB, rich
# 3 MB, and libssl and libcrypto (`ssl`, `_hashlib`) 4.7 MB.
UNUSED_LIBRARIES = ('OpenSSL', 'rich', 'ssl', '_ssl', '_hashlib')
# Variable and value with which pydantic looks for no plugins; it would read
# the metadata of every installed distribution.
PLUGINS_VARIABLE = 'PYDANTIC_DISABLE_PLUGINS'
NO_PLUGINS = '__all__'


def disable_unused_libraries() -> None:
    """Prevent the import of optional libraries and plugins not used."""
    os.environ.setdefault(PLUGINS_VARIABLE, NO_PLUGINS)
    for name in UNUSED_LIBRARIES:
        assert name not in sys.modules, f'{name} is already imported'
        sys.modules[name] = typing.cast(typing.Any, None)


def handle_early_signals() -> None:
    """Ignore SIGHUP and exit on SIGTERM until the role handles them.

    Imports take up to a second on a slow instance. The default action of
    both signals would report the process as killed. SIGTERM is handled
    first: who sees that SIGHUP is ignored may send it.
    """
    # No work has been accepted yet, so there is nothing to finish.
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def defer_garbage_collection() -> None:
    """Collect no garbage until the process runs.

    Imports create many objects and hardly any garbage; collecting between
    them takes a tenth of their processor time. `Process.run` enables it.
    """
    gc.disable()


def main() -> None:
    """Run the role named by the first argument."""
    handle_early_signals()
    args = sys.argv[1:]
    if not args or args[0] not in MODULES:
        name = args[0] if args else 'none'
        print(f'{USAGE}\nunknown role: {name}', file=sys.stderr)
        raise SystemExit(USAGE_EXIT)
    disable_unused_libraries()
    defer_garbage_collection()
    importlib.import_module(MODULES[args[0]])
    launch = importlib.import_module('kcr_daemon.launch')
    raise SystemExit(launch.run(args[0], args[1:]))


if __name__ == '__main__':
    main()
