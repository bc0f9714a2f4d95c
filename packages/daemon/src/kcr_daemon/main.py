"""Start one role as a daemon: `kingcuprouterd ROLE [flags]`."""

import importlib
import sys
import typing

from kcr_runtime import process
from kcr_runtime import roles
from kcr_runtime import settings

USAGE = f'usage: kingcuprouterd {{{",".join(roles.MODULES)}}} [--help] [flags]'


def disable_tls() -> None:
    """Keep Twisted from importing pyOpenSSL where it is installed.

    The daemons use no TLS, and pyOpenSSL costs 12 MB of the 64 MB allowed.
    """
    assert 'OpenSSL' not in sys.modules, 'pyOpenSSL was imported before'
    sys.modules['OpenSSL'] = typing.cast(typing.Any, None)


def main() -> None:
    """Run the role named by the first argument."""
    disable_tls()
    args = sys.argv[1:]
    if not args or args[0] not in roles.MODULES:
        asked = args[0] if args else 'none'
        print(f'{USAGE}\nunknown role: {asked}', file=sys.stderr)
        raise SystemExit(settings.USAGE_EXIT)
    importlib.import_module(roles.MODULES[args[0]])
    role = roles.ROLES.get(args[0])
    cfg = settings.load(role.options, args[1:])
    raise SystemExit(process.Process(role, cfg).run())


if __name__ == '__main__':
    main()
