"""Read the settings of a registered role and run it."""

from kcr_runtime import process
from kcr_runtime import roles
from kcr_runtime import settings


def run(name: str, args: list[str]) -> int:
    """Run a registered role; return the exit status of the process."""
    role = roles.ROLES.get(name)
    cfg = settings.load(role.options, args)
    return process.Process(role, cfg).run()
