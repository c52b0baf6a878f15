"""The commands of operators, executed by one entry.

| module             | commands                                             |
|--------------------|------------------------------------------------------|
| `_command_change`  | `drain`, `restore`, `set`                            |
| `_command_submit`  | `submit`                                             |
| `_command_cancel`  | `cancel job`, `cancel tenant`, `throttle`            |
| `_command_show`    | `show zones`, `workers`, `configuration`, `commands` |
| `_command_jobs`    | `show jobs`                                          |
| `_command_why`     | `why job`, `task`, `refusal`, `command`              |
"""

from jujubeglade.entry import (
    _command_cancel,
    _command_change,
    _command_jobs,
    _command_show,
    _command_submit,
    _command_why,
)
from jujubeglade.entry._command_registry import (
    Invocation,
    Reply,
    execute,
    handled_kinds,
)

__all__ = ["Invocation", "Reply", "execute", "handled_kinds"]

# Importing these modules fills the registry.
MODULES = (
    _command_cancel,
    _command_change,
    _command_jobs,
    _command_show,
    _command_submit,
    _command_why,
)
