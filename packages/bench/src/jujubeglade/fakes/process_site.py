"""A site of the users' platform whose entries and agents are processes of their own.

Store, workers and clients are the stand-ins of `platform_site`, in this process. The
connections of each entry and agent to the store and to its worker go through relays
that can be cut, paused and delayed. Signals stop, pause and kill the processes.
"""

import asyncio
import json
import os
import pathlib
import signal
import sys

from jujubeglade.fakes import platform_site, wire

_SETTINGS_VARIABLE = "JUJUBEGLADE_NODE_FILE"


class Program:
    """One process of the product, with its settings file and its log."""

    __slots__ = (
        "_log",
        "_path",
        "is_paused",
        "name",
        "process",
        "restart_lock",
        "should_run",
    )

    def __init__(self, folder, settings):
        """Write the settings file; `start` starts the process.

        Args:
          folder: A pathlib.Path, for the settings file and the log.
          settings: A dict.
        """
        self.name = settings["name"]
        self.process = None
        #: Held during a restart or a pause, so that one process runs at a time.
        self.restart_lock = asyncio.Lock()
        self.is_paused = False
        #: Whether the process should run; if it exits then, the product has a fault.
        self.should_run = False
        self._path = folder / f"{self.name}.json5"
        self._log = folder / f"{self.name}.log"
        self._path.write_text(json.dumps(settings), encoding="utf-8")

    @property
    def has_ended_unexpectedly(self):
        """Tell whether the process has exited although it should run."""
        return self.should_run and self.process.returncode is not None

    async def start(self):
        """Start the process; its log is appended to that of earlier incarnations."""
        self.should_run = True
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "jujubeglade.platform",
                env=os.environ | {_SETTINGS_VARIABLE: str(self._path)},
                stdout=log,
                stderr=log,
            )

    def send(self, number):
        """Send a signal, if the process has not exited."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    def pause(self):
        """Suspend the process."""
        self.is_paused = True
        self.send(signal.SIGSTOP)

    def resume(self):
        """Resume the process after a pause."""
        self.is_paused = False
        self.send(signal.SIGCONT)

    async def end(self, number=signal.SIGKILL):
        """Send a signal that ends the process, and wait until it has exited."""
        self.should_run = False
        self.resume()
        self.send(number)
        await self.process.wait()


class ProcessSite(platform_site.PlatformSite):
    """A site whose entries and agents are separate processes."""

    def __init__(self, folder, coordinate_from=0):
        """Create a site without processes; `open` starts them.

        Args:
          folder: A string, the folder for settings files and logs.
          coordinate_from: An integer, that setting of all processes.
        """
        super().__init__()
        self._own_settings = {"log_level": "info", "coordinate_from": coordinate_from}
        self._folder = pathlib.Path(folder)
        #: Relays by the name of the process and the target, "store" or "worker".
        self.relays = {}

    @property
    def programs(self):
        """List all processes."""
        return [*self.entries, *self.agents]

    async def start_entry(self, index):
        """Start the entry with an index for the first time."""
        settings = await self._add_relays(self.entry_settings(index))
        self.entries.append(await self._start(settings))

    async def start_agent(self, index):
        """Start the agent with an index for the first time."""
        settings = await self._add_relays(self.agent_settings(index))
        self.agents.append(await self._start(settings))

    async def close(self):
        """Stop everything."""
        for program in self.programs:
            await program.end()
        for relay in self.relays.values():
            await relay.close()
        self.entries.clear()
        self.agents.clear()
        await super().close()

    async def _start(self, settings):
        program = Program(self._folder, settings | self._own_settings)
        await program.start()
        return program

    async def _add_relays(self, settings):
        """Open relays to the store and the worker, and put them into the settings."""
        name = settings["name"]
        store = settings["store"]
        address = await self._open_relay(
            name, "store", store["address"].partition("//")[2]
        )
        settings = settings | {"store": store | {"address": f"http://{address}"}}
        if "worker" in settings:
            settings["worker"] = await self._open_relay(
                name, "worker", settings["worker"]
            )
        return settings

    async def _open_relay(self, name, kind, target):
        host, _, port = target.rpartition(":")
        relay = await wire.open_relay((host, int(port)))
        self.relays[name, kind] = relay
        return f"127.0.0.1:{relay.port}"
