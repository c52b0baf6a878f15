"""The jujubegladed program: runs one process of the role that its settings name.

On SIGTERM or SIGINT it leaves gracefully: it accepts no new work, finishes its
running work, and exits. On SIGHUP it reads its settings again.
"""

import argparse
import asyncio
import signal
import sys

from jujubeglade.core import log, settings

_EXIT_INVALID_SETTINGS = 2
_log = log.get(__name__)
# The processes of direct jobs write their log to standard output.
_DIRECT_ROLES = ("direct-entry", "direct-agent")


def main(arguments=None):
    """Run the program.

    Args:
      arguments: A list of strings; None means the arguments of the process.
    """
    parser = argparse.ArgumentParser(
        prog="jujubegladed", description="Run one process of jujubeglade."
    )
    parser.add_argument("settings", help="the settings file, JSON with comments")
    options = parser.parse_args(arguments)
    loaded = settings.load(options.settings)
    if loaded.is_err():
        for error in loaded.err_value:
            print(error, file=sys.stderr)
        sys.exit(_EXIT_INVALID_SETTINGS)
    process_settings = loaded.ok_value
    if process_settings.role in _DIRECT_ROLES:
        stream, log_format = sys.stdout, "json"
    else:
        stream, log_format = sys.stderr, "text"
    log.setup(
        process_settings.log_level,
        stream,
        process_settings.role,
        process_settings.name,
        log_format,
    )
    asyncio.run(_serve(new_process(process_settings), options.settings))
    log.flush()


def new_process(process_settings):
    """Create the process of a role.

    Only the modules of the role are imported, which keeps an agent's memory small.

    Args:
      process_settings: The settings of one of the roles.

    Returns:
      An Entry or an Agent.
    """
    if process_settings.role == "direct-entry":
        from jujubeglade.direct import entry

        return entry.new_entry(process_settings)
    if process_settings.role == "direct-agent":
        from jujubeglade.direct import agent

        return agent.new_agent(process_settings)
    if process_settings.role == "entry":
        from jujubeglade.entry import entry

        return entry.new_entry(process_settings)
    from jujubeglade.agent import agent

    return agent.new_agent(process_settings)


async def _serve(process, path):
    """Run a process until SIGTERM or SIGINT.

    Args:
      process: An Entry or an Agent.
      path: A string, the path of its settings file, which is read again on SIGHUP.
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, process, path)
    await process.start()
    await stopping.wait()
    await process.stop()


def _reload(process, path):
    """Read the settings again; only those that a running process can change apply."""
    loaded = settings.load(path)
    if loaded.is_err():
        for error in loaded.err_value:
            _log.error("settings not reloaded", cause=error)
        return
    process_settings = loaded.ok_value
    log.set_level(process_settings.log_level)
    reload = getattr(process, "reload", None)
    if reload is not None:
        reload(process_settings)
    _log.info("settings reloaded", path=path)


if __name__ == "__main__":
    main()
