"""Load the settings of a registered role and run the role.

`main` calls this after it has imported the package that registers the role.
The module is apart from `main`, which must import nothing of the runtime
before it has disabled the unused libraries.
"""

from kcr_runtime import process
from kcr_runtime import roles
from kcr_runtime import settings


def run(name: str, args: list[str]) -> int:
    """Run a registered role and return the exit status of the process."""
    role = roles.ROLES.get(name)
    cfg = settings.load(role.options, args)
    return process.Process(role, cfg).run()
