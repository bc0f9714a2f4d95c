"""Read and validate the settings of a process from flags and environment.

The daemon calls `load` at start with the role's options class, which extends
`Options`. A flag takes precedence over its environment variable `KCR_…`. All
errors are reported at once. argparse reads the flags because
pydantic-settings takes 7 MB of the 64 MB that a daemon may use.
"""

import argparse
import os
import sys
import typing

import pydantic

from kcr_core import net_address

# Exit status for invalid settings, the same as that of argparse.
USAGE_EXIT = 2
# Prefix of the names of environment variables.
ENV_PREFIX = 'KCR_'

OptionsT = typing.TypeVar('OptionsT', bound='Options')


def check_address(value: str) -> str:
    """Return `value`; raise ValueError if it is not an IP address and port."""
    net_address.parse(value, lowest_port=0)
    return value


Address = typing.Annotated[str, pydantic.AfterValidator(check_address)]


class Options(pydantic.BaseModel):
    """Define the settings that all roles have."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

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
    metrics: str = pydantic.Field(
        '', description='address that serves metrics; empty for none'
    )
    process_mb: float = pydantic.Field(
        1024.0,
        description='memory of the process in MiB; bounds what callers use',
        gt=0,
        allow_inf_nan=False,
    )
    max_fds: int = pydantic.Field(
        4096,
        description='descriptors of the process; bounds the connections',
        ge=256,
    )
    seed: int = pydantic.Field(
        0, description='seed of the jitter; 0 draws one', ge=0
    )


def load(cls: type[OptionsT], args: list[str]) -> OptionsT:
    """Return validated options; print all errors and exit if there are any."""
    values = {**read_environment(cls), **read_flags(cls, args)}
    try:
        return cls.model_validate(values)
    except pydantic.ValidationError as exc:
        print(f'{exc.error_count()} invalid settings:', file=sys.stderr)
        for error in exc.errors(include_url=False):
            print(f'  {_describe(error, values)}', file=sys.stderr)
        raise SystemExit(USAGE_EXIT) from exc


def read_environment(cls: type[Options]) -> dict[str, typing.Any]:
    """Return the settings that environment variables set."""
    values: dict[str, typing.Any] = {}
    for name in cls.model_fields:
        text = os.environ.get(ENV_PREFIX + name.upper())
        if text is not None:
            values[name] = _split(text) if _is_list(cls, name) else text
    return values


def read_flags(cls: type[Options], args: list[str]) -> dict[str, typing.Any]:
    """Return the settings that flags set; a flag of a list may be repeated."""
    parser = argparse.ArgumentParser(description=cls.__doc__)
    for name, field in cls.model_fields.items():
        many = _is_list(cls, name)
        variable = ENV_PREFIX + name.upper()
        default = '' if field.is_required() else f'; default {field.default}'
        parser.add_argument(
            _flag(name),
            action='append' if many else 'store',
            default=argparse.SUPPRESS,
            metavar='VALUE',
            help=f'{field.description} ({variable}{default})',
        )
    values = vars(parser.parse_args(args))
    for name in values:
        if _is_list(cls, name):
            values[name] = [v for text in values[name] for v in _split(text)]
    return values


def _flag(name: str) -> str:
    return f'--{name.replace("_", "-")}'


def _is_list(cls: type[Options], name: str) -> bool:
    return typing.get_origin(cls.model_fields[name].annotation) is list


def _split(text: str) -> list[str]:
    return [part.strip() for part in text.split(',') if part.strip()]


def _describe(error: typing.Any, values: dict[str, typing.Any]) -> str:
    name = str(error['loc'][0]) if error['loc'] else ''
    cause = error['msg']
    if name in values:
        cause = f'{cause}, got {values[name]!r}'
    return f'{_flag(name)} ({ENV_PREFIX}{name.upper()}): {cause}'[:300]
