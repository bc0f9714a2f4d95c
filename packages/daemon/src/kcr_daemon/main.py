"""Start one role as a daemon: `kingcuprouterd ROLE [flags]`.

Only the package of the role that was asked for is imported, and unused
optional libraries are kept out before anything else is imported.
"""

import importlib
import os
import signal
import sys
import typing

# Module that registers each role.
MODULES = {'entry': 'kcr_entry.role', 'sidecar': 'kcr_sidecar.role'}
USAGE = f'usage: kingcuprouterd {{{",".join(MODULES)}}} [--help] [flags]'
# Exit status after a wrong command line, as argparse has it.
USAGE_EXIT = 2
# Libraries that Twisted, structlog, asyncio and hashlib import where they are
# installed. The daemons speak no TLS, and hashlib has hashes of its own. Of
# the 64 MB allowed, OpenSSL for Twisted costs 12 MB, rich 3 MB, and libssl
# and libcrypto (`ssl`, `_hashlib`) 4.7 MB.
UNUSED_LIBRARIES = ('OpenSSL', 'rich', 'ssl', '_ssl', '_hashlib')


def disable_unused_libraries() -> None:
    """Keep optional libraries from being imported."""
    for name in UNUSED_LIBRARIES:
        assert name not in sys.modules, f'{name} was imported before'
        sys.modules[name] = typing.cast(typing.Any, None)


def handle_early_signals() -> None:
    """Ignore SIGHUP and end on SIGTERM until the role handles them.

    Imports take up to a second on a slow instance, and the default action of
    both would report the process as killed.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Nothing has been taken up that would have to be finished.
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))


def main() -> None:
    """Run the role named by the first argument."""
    handle_early_signals()
    args = sys.argv[1:]
    if not args or args[0] not in MODULES:
        asked = args[0] if args else 'none'
        print(f'{USAGE}\nunknown role: {asked}', file=sys.stderr)
        raise SystemExit(USAGE_EXIT)
    disable_unused_libraries()
    importlib.import_module(MODULES[args[0]])
    launch = importlib.import_module('kcr_daemon.launch')
    raise SystemExit(launch.run(args[0], args[1:]))


if __name__ == '__main__':
    main()
