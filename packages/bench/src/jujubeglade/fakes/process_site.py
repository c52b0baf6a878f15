"""A site of the users' platform whose entries and agents are processes of their own.

Store, workers and clients are the stand-ins of `platform_site`, in this process; what
speaks to the store or to a worker goes through a relay that can be cut, held and
delayed. Processes are stopped, paused and killed by signals.
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
    """One process of the product."""

    __slots__ = (
        "_log",
        "_path",
        "is_paused",
        "name",
        "process",
        "restart_lock",
        "wanted",
    )

    def __init__(self, folder, settings):
        """Write the settings; `start` runs it.

        Args:
          folder: A pathlib.Path, for settings and logs.
          settings: A dict.
        """
        self.name = settings["name"]
        self.process = None
        #: Held while it is ended and started again, so that it never runs twice.
        self.restart_lock = asyncio.Lock()
        self.is_paused = False
        #: Whether it should run; an end while it should is a fault of the product.
        self.wanted = False
        self._path = folder / f"{self.name}.json5"
        self._log = folder / f"{self.name}.log"
        self._path.write_text(json.dumps(settings), encoding="utf-8")

    @property
    def has_ended_unexpectedly(self):
        """Tell whether it has ended although it should run."""
        return self.wanted and self.process.returncode is not None

    async def start(self):
        """Start the process, its log appended to that of its former lives."""
        self.wanted = True
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
        """Send a signal, if the process has not ended."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    def pause(self):
        """Let the process stand still."""
        self.is_paused = True
        self.send(signal.SIGSTOP)

    def resume(self):
        """Let it go on."""
        self.is_paused = False
        self.send(signal.SIGCONT)

    async def end(self, number=signal.SIGKILL):
        """Send a signal that ends the process, and wait for that."""
        self.wanted = False
        self.resume()
        self.send(number)
        await self.process.wait()


class ProcessSite(platform_site.PlatformSite):
    """A site of real processes."""

    def __init__(self, folder):
        """Build nothing yet; use `open`.

        Args:
          folder: A string, where settings and logs go.
        """
        super().__init__()
        self._folder = pathlib.Path(folder)
        #: Relays by the name of the process, and whether to the store or the worker.
        self.relays = {}

    @property
    def programs(self):
        """List all processes."""
        return [*self.entries, *self.agents]

    async def start_entry(self, index):
        """Start the entry of a number for the first time."""
        settings = await self._relayed(self.entry_settings(index))
        self.entries.append(await self._start(settings))

    async def start_agent(self, index):
        """Start the agent of a number for the first time."""
        settings = await self._relayed(self.agent_settings(index))
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
        program = Program(self._folder, settings | {"log_level": "info"})
        await program.start()
        return program

    async def _relayed(self, settings):
        """Let what the process says to store and worker go through relays."""
        name = settings["name"]
        store = settings["store"]
        address = await self._relay(name, "store", store["address"].partition("//")[2])
        settings = settings | {"store": store | {"address": f"http://{address}"}}
        if "worker" in settings:
            settings["worker"] = await self._relay(name, "worker", settings["worker"])
        return settings

    async def _relay(self, name, what, target):
        host, _, port = target.rpartition(":")
        relay = await wire.open_relay((host, int(port)))
        self.relays[name, what] = relay
        return f"127.0.0.1:{relay.port}"
