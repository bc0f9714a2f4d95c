"""Read and check the settings of a process from flags and environment.

Each role has one options class that extends `Options`. A flag goes before
its environment variable `KCR_…`; all errors are reported at once.
"""

import re
import sys
import typing

import pydantic
import pydantic_settings

ADDRESS = re.compile(r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$')
# Exit status after wrong settings, as argparse has it.
USAGE_EXIT = 2

O = typing.TypeVar('O', bound='Options')  # noqa: E741


def check_address(value: str) -> str:
    """Return `value` if it is an IP address and port; else ValueError."""
    if not ADDRESS.match(value):
        raise ValueError('must be IP:PORT, for example 127.0.0.1:7000')
    return value


Address = typing.Annotated[str, pydantic.AfterValidator(check_address)]


class Options(pydantic_settings.BaseSettings):
    """Hold what every role is told at start."""

    model_config = pydantic_settings.SettingsConfigDict(
        env_prefix='KCR_',
        extra='forbid',
        frozen=True,
        cli_kebab_case=True,
        cli_avoid_json=True,
    )

    process: str = pydantic.Field(
        description='name of the process, unique in the deployment',
        min_length=1,
        max_length=64,
    )
    region: str = pydantic.Field(
        description='region of the process', min_length=1, max_length=64
    )
    zone: str = pydantic.Field(
        description='availability zone', min_length=1, max_length=64
    )
    rack: str = pydantic.Field(
        'rack-0', description='rack', min_length=1, max_length=64
    )
    environment: str = pydantic.Field(
        'production',
        description='environment whose document is followed',
        min_length=1,
        max_length=64,
    )
    seed: int = pydantic.Field(
        0, description='seed of the jitter; 0 draws one', ge=0
    )


def load(cls: type[O], args: list[str]) -> O:
    """Return checked options; print all errors and exit when wrong."""
    try:
        return pydantic_settings.CliApp.run(cls, cli_args=args)
    except pydantic.ValidationError as exc:
        print(f'{exc.error_count()} wrong settings:', file=sys.stderr)
        for error in exc.errors(include_url=False):
            name = '.'.join(str(part) for part in error['loc'])
            flag = name.lower().replace('_', '-')
            print(
                f'  --{flag} (KCR_{flag.upper().replace("-", "_")}): '
                f'{error["msg"]}, got {error.get("input")!r}'[:300],
                file=sys.stderr,
            )
        raise SystemExit(USAGE_EXIT) from exc
