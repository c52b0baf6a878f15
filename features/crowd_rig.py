"""Sites whose processes have the limits of the smallest machines, and crowds there.

A crowd is a process of its own (`jujubeglade.fakes.crowd`). While it is connected, the
memory and the descriptors of the process under test are sampled.
"""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import resource
import signal
import sys
import tempfile

import aiohttp

from jujubeglade.bench import cluster, ports
from jujubeglade.fakes import platform_site, process_site

_KIB = 1024
_MIB = 1024 * 1024
_SAMPLE_INTERVAL_S = 0.2
#: A guard against a process that hangs: far above what an answer takes.
_MAX_TRIES = 12
_TRY_TIMEOUT_S = 10.0
_RETRY_S = 0.5
_MAX_ARRIVAL_S = 10.0
_REPORT_BYTES = 4 * _MIB
_JOB_BYTES = 4 * _MIB
_BODY_BYTES = 256 * 1024
#: The kinds of clients that are a kind of `crowd` with another request.
_REQUESTS = {
    "whole-report": ("whole-body", ("PUT", "/jujubeglade/instances/", _REPORT_BYTES)),
    # The id that follows is a query that the entry ignores.
    "large-job": ("whole-body", ("POST", "/v1/jobs?", _JOB_BYTES)),
    "large-announcement": ("whole-body", ("POST", "/v1/announce?", _JOB_BYTES)),
}
_PLATFORM_REQUEST = ("POST", platform_site.PREFIX, _BODY_BYTES)
_TOKEN = f"Bearer {cluster.CALLER_TOKENS['alpha']}"


@dataclasses.dataclass(frozen=True, slots=True)
class Machine:
    """The limits of a machine.

    Attributes:
      memory_bytes: An integer.
      descriptors: An integer.
    """

    memory_bytes: int
    descriptors: int


#: The smallest of the deployments in service.
ENTRY_MACHINE = Machine(160 * _MIB, 1638)
AGENT_MACHINE = Machine(168 * _MIB, 4096)


def machine_of(name):
    """Return the Machine of a process by its name."""
    return ENTRY_MACHINE if name.startswith("entry") else AGENT_MACHINE


def _limit(process, name):
    """Give a process that has just been started the descriptors of its machine."""
    most = machine_of(name).descriptors
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (most, most))


class Site(process_site.ProcessSite):
    """A platform site of one entry and two agents, with metrics."""

    def __init__(self):
        """Create a site without processes; `open` starts them."""
        super().__init__(tempfile.mkdtemp(prefix="crowd-"))
        self._metrics_ports = ports.free(3)
        self._addresses = {}

    async def start(self):
        """Start the processes."""
        await self.open(1, 2)
        await self.complete_job()

    async def start_entry(self, index):
        """Start the entry with an index; see `ProcessSite`."""
        await super().start_entry(index)
        _limit(self.entries[-1].process, "entry")

    async def start_agent(self, index):
        """Start the agent with an index; see `ProcessSite`."""
        await super().start_agent(index)
        _limit(self.agents[-1].process, "agent")

    def entry_settings(self, index):
        """Add the metrics; see `PlatformSite`."""
        settings = super().entry_settings(index)
        host = settings["clients"].partition(":")[0]
        return self._with_metrics(settings, f"{host}:{self._metrics_ports[0]}")

    def agent_settings(self, index):
        """Add the metrics; see `PlatformSite`."""
        settings = super().agent_settings(index)
        return self._with_metrics(
            settings, f"127.0.0.1:{self._metrics_ports[1 + index]}"
        )

    def process(self, name):
        """Return a process by its name."""
        return next(item for item in self.programs if item.name == name).process

    def address(self, name, listener):
        """Return the address of a listener of a process, as HOST:PORT."""
        return self._addresses[name][listener]

    async def complete_job(self):
        """Submit jobs until one is completed; raise an AssertionError if none is."""

        async def submit(session):
            job_id = os.urandom(8).hex()
            host = self.address("entry-0", "clients")
            url = f"http://{host}{platform_site.PREFIX}{job_id}"
            headers = {"Host": platform_site.HOST, "X-Deadline-Ms": "5000"}
            body = platform_site.job(1, 1, 30)
            async with session.post(url, json=body, headers=headers) as answer:
                text = await answer.text()
                return answer.status == 200 and "completed" in text, text

        await _until(submit)

    async def check_ready(self):
        """Ask for readiness until the entry is ready."""

        async def ask(session):
            host = self.address("entry-0", "readiness")
            url = f"http://{host}/jujubeglade/readiness"
            async with session.get(url) as answer:
                return answer.status == 200, str(answer.status)

        await _until(ask)

    def _with_metrics(self, settings, address):
        settings = settings | {"metrics": address}
        self._addresses[settings["name"]] = settings
        return settings


class TicketSite(cluster.Cluster):
    """A cluster of one entry with tickets and one agent."""

    def __init__(self):
        """Create a cluster without processes; `start` starts them."""
        shape = cluster.Shape(zones=("a",), workers=1, entries=1)
        self._addresses = {}
        super().__init__(shape, pathlib.Path(tempfile.mkdtemp(prefix="crowd-")))

    async def start(self):
        """Start the processes."""
        await self.launch()
        await self.complete_job()

    async def start_process(self, name):
        """Start a process; see `Cluster`."""
        await super().start_process(name)
        if name in self._addresses:
            _limit(self.processes[name], name)

    def process(self, name):
        """Return a process by its name."""
        return self.processes[name]

    def address(self, name, listener):
        """Return the address of a listener of a process, as HOST:PORT."""
        return self._addresses[name][listener]

    async def complete_job(self):
        """Submit jobs until one is completed; raise an AssertionError if none is."""

        async def submit(session):
            url = f"{self.entry_url('entry-1')}/v1/jobs"
            task = {"service": "parts", "payload": {"ms": 30}}
            body = {"deadline_ms": 5000, "wait_ms": 5000, "tasks": [task]}
            headers = {"Authorization": _TOKEN}
            async with session.post(url, json=body, headers=headers) as answer:
                text = await answer.text()
                return answer.status == 200 and "complete" in text, text

        await _until(submit)

    async def check_ready(self):
        """Ask for readiness until the entry is ready."""

        async def ask(session):
            async with session.get(f"{self.entry_url('entry-1')}/ready") as answer:
                return answer.status == 200, str(answer.status)

        await _until(ask)

    async def close(self):
        """Stop everything."""
        await self.stop()

    def _write_settings(self, name, fields):
        self._addresses[name] = fields
        super()._write_settings(name, fields)


async def _until(attempt):
    """Repeat an attempt, each on a connection of its own, until it succeeds.

    Args:
      attempt: A coroutine function of a session; it returns whether it succeeded, and
        a text.
    """
    texts = []
    timeout = aiohttp.ClientTimeout(total=_TRY_TIMEOUT_S)
    for _ in range(_MAX_TRIES):
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                is_done, text = await attempt(session)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            is_done, text = False, repr(error)
        if is_done:
            return
        texts.append(text[:200])
        await asyncio.sleep(_RETRY_S)
    raise AssertionError(f"never answered: {texts}")


class Crowd:
    """A crowd, and what the process under test holds meanwhile."""

    def __init__(self, site, name, listener, kind, count):
        """Prepare a crowd; `start` starts it.

        Args:
          site: A Site or a TicketSite.
          name: A string, the name of the process under test.
          listener: A string, the setting with the listener's address.
          kind: A string, a kind of `crowd` or of `_REQUESTS`.
          count: An integer.
        """
        self.peak_bytes = 0
        self.peak_descriptors = 0
        self._pid = site.process(name).pid
        self._process = site.process(name)
        self._machine = machine_of(name)
        self._address = site.address(name, listener)
        self._kind, request = _REQUESTS.get(kind, (kind, _PLATFORM_REQUEST))
        self._method, self._prefix, self._body_bytes = request
        self._count = count
        self._crowd = None
        self._sampling = None

    async def start(self, seconds):
        """Start the crowd, and let it send for some time once all have connected.

        Args:
          seconds: A number.
        """
        options = {
            "count": self._count,
            "seconds": 600,
            "target": f"{self._method} {self._prefix}",
            "authorization": _TOKEN,
            "body-bytes": self._body_bytes,
        }
        arguments = [f"--{name}={value}" for name, value in options.items()]
        self._crowd = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "jujubeglade.fakes.crowd", self._address, self._kind, *arguments),
            stdout=asyncio.subprocess.PIPE,
        )
        self._sampling = asyncio.create_task(self._sample_forever())
        # Without an answer the process under test has no room for more clients.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_MAX_ARRIVAL_S):
                await self._crowd.stdout.readline()
        await asyncio.sleep(seconds)

    async def end(self):
        """End the crowd."""
        if self._crowd is not None and self._crowd.returncode is None:
            self._crowd.send_signal(signal.SIGKILL)
            await self._crowd.wait()

    async def close(self):
        """End the crowd and the samples."""
        await self.end()
        if self._sampling is not None:
            self._sampling.cancel()
            await asyncio.gather(self._sampling, return_exceptions=True)

    def check(self):
        """Raise an AssertionError unless the process kept to its machine."""
        machine = self._machine
        print(f"{self.peak_bytes // _MIB} MB, {self.peak_descriptors} descriptors")
        assert self._process.returncode is None, "the process has ended"
        assert self._crowd.returncode in (None, -signal.SIGKILL), "the crowd has failed"
        peak = f"{self.peak_bytes / _MIB:.0f} MB"
        assert self.peak_bytes < machine.memory_bytes, peak
        assert self.peak_descriptors < machine.descriptors, self.peak_descriptors

    async def _sample_forever(self):
        while self._process.returncode is None:
            try:
                resident_kib = cluster.peak_resident_kib(self._process)
                descriptors = _open(self._pid)
            except OSError:
                return
            memory = resident_kib * _KIB + _unread(self._address)
            self.peak_bytes = max(self.peak_bytes, memory)
            self.peak_descriptors = max(self.peak_descriptors, descriptors)
            await asyncio.sleep(_SAMPLE_INTERVAL_S)


def _open(pid):
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def _unread(address):
    """Return the bytes that a listener's connections have received and not read."""
    host, _, port = address.rpartition(":")
    # The kernel shows the four bytes of the address as a little-endian number.
    number = "".join(f"{int(part):02X}" for part in reversed(host.split(".")))
    local = f"{number}:{int(port):04X}"
    with open("/proc/net/tcp", encoding="ascii") as table:
        next(table)
        rows = [line.split() for line in table]
    listening = "0A"
    return sum(
        int(row[4].partition(":")[2], 16)
        for row in rows
        if row[1] == local and row[3] != listening
    )
