"""A cluster of real processes on loopback, for tests of failures and for the bench.

    shape = cluster.Shape(zones=("a", "b", "c"), workers=11)
    async with cluster.start(shape) as cluster_:
        cluster_.kill("worker-01")
        await cluster_.start_process("worker-01")
        cluster_.starts()     # what the upstreams saw

Each process has its settings file in a temporary folder. All upstreams share one
process and write their logs there. The cluster ends only processes that it started.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import sys
import tempfile

import aiohttp

from jujubeglade.bench import ports
from jujubeglade.core import clock
from jujubeglade.fakes import upstream, wire

CALLER_TOKENS = {
    "alpha": "caller-token-of-alpha",
    "beta": "caller-token-of-beta",
    "gamma": "caller-token-of-gamma",
}
OPERATOR_TOKENS = {
    "duty": "operator-token-of-duty",
    "night": "operator-token-of-night",
}
CLUSTER_KEY = "cluster-key-of-the-bench"
_HOST = "127.0.0.1"
_READY_TIMEOUT_MS = 20_000
_POLL_INTERVAL_MS = 50
_STOP_TIMEOUT_MS = 10_000
_WORKERS_PER_RACK = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """The size and settings of a cluster.

    Attributes:
      zones: A tuple of strings, the availability zones, given to entries
        and workers in turn.
      workers: An integer, how many.
      entries: An integer, how many.
      slots: An integer, for each upstream.
      connections: An integer, for each upstream.
      service: A string, the service of all upstreams.
      limits: A mapping, the `limits` in every settings file.
      relays: A boolean, whether the links between processes go through relays,
        which can cut and hold them.
      program: A string, the module that entries and agents run.
      arguments: A tuple of strings, passed to the program before its settings file.
      choices: A mapping, the content of the file `observed.json`.
    """

    zones: tuple[str, ...] = ("a", "b", "c")
    workers: int = 5
    entries: int = 3
    slots: int = 8
    connections: int = 64
    service: str = "parts"
    limits: dict = dataclasses.field(default_factory=dict)
    relays: bool = False
    program: str = "jujubeglade.daemon.main"
    arguments: tuple[str, ...] = ()
    choices: dict = dataclasses.field(default_factory=dict)


#: The deployments of the two users.
ASSOCIATION = Shape(zones=("a", "b", "c"), workers=11)
ARMOR_NEIGE = Shape(zones=("a", "b", "c", "d"), workers=11)


class Cluster:
    """The processes of one cluster."""

    def __init__(self, shape, folder):
        """Write the settings; `launch` starts the processes.

        Args:
          shape: A Shape.
          folder: A pathlib.Path for settings and logs.
        """
        self.shape = shape
        self.folder = folder
        self.processes = {}
        max_relays = (shape.workers + shape.entries) * (shape.entries + 1)
        self._ports = ports.free(
            4 + 2 * shape.entries + 4 * shape.workers + shape.relays * max_relays
        )
        # Relays and their ports, by the pair of dialer and target; the dialer `*`
        # stands for all other agents together.
        self.relays = {}
        self._relay_ports = {}
        self._store_port = self._ports.pop()
        self._store_control_port = self._ports.pop()
        self._commands = {}
        self.entry_names = [f"entry-{n + 1}" for n in range(shape.entries)]
        self.worker_names = [f"worker-{n + 1:02}" for n in range(shape.workers)]
        self._stream_ports = {name: self._ports.pop() for name in self.entry_names}
        self.http_ports = {name: self._ports.pop() for name in self.entry_names}
        self.upstream_ports = {}
        self._write_all_settings()

    @property
    def store_control(self):
        """Return the URL at which the store's faults are set."""
        return f"http://{_HOST}:{self._store_control_port}/control"

    def entry_url(self, name):
        """Return the base URL of an entry.

        Args:
          name: A string.
        """
        return f"http://{_HOST}:{self.http_ports[name]}"

    def zone_of(self, worker):
        """Return the zone of a worker.

        Args:
          worker: A string, its name.
        """
        zones = self.shape.zones
        return zones[self.worker_names.index(worker) % len(zones)]

    async def launch(self):
        """Start everything and wait until every entry serves every worker."""
        for pair, (port, target) in self._relay_ports.items():
            self.relays[pair] = await wire.open_relay((_HOST, target), port)
        await self.start_process("store")
        for name in self.entry_names:
            await self.start_process(name)
        for name in self.worker_names:
            await self.start_process(name)
        await self.start_process("upstreams")
        await self.wait_ready(self.shape.workers)

    async def start_process(self, name):
        """Start a process that is not running.

        Args:
          name: A string: `store`, `upstreams`, or the name of an entry or worker.
        """
        log = (self.folder / f"{name}.log").open("ab")
        with log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._commands[name],
                stdout=log,
                stderr=log,
            )
        self.processes[name] = process

    def kill(self, name):
        """End a process without warning.

        Args:
          name: A string.
        """
        self.processes[name].kill()

    def freeze(self, name):
        """Suspend a process with SIGSTOP.

        Args:
          name: A string.
        """
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        """Resume a frozen process.

        Args:
          name: A string.
        """
        self.processes[name].send_signal(signal.SIGCONT)

    def relays_of(self, name):
        """List the relays of all links from or to a process.

        Args:
          name: A string.

        Returns:
          A list of wire.Relays.
        """
        return [relay for pair, relay in self.relays.items() if name in pair]

    async def terminate(self, name):
        """Ask a process to shut down gracefully and wait for its end.

        Args:
          name: A string.

        Returns:
          An integer, its exit status.
        """
        self.processes[name].terminate()
        return await self.processes[name].wait()

    async def wait_ready(self, workers):
        """Wait until every running entry is ready and is connected to enough workers.

        Args:
          workers: An integer, how many agents must be connected to each entry at least.

        Raises:
          TimeoutError: The cluster did not become ready in time.
        """
        async with asyncio.timeout(clock.seconds(_READY_TIMEOUT_MS)):
            async with aiohttp.ClientSession() as session:
                for name in self.entry_names:
                    await self._wait_entry(session, name, workers)

    async def set_store(self, **faults):
        """Set the faults of the stand-in store.

        Args:
          **faults: The control fields of `jujubeglade.fakes.store`.
        """
        async with (
            aiohttp.ClientSession() as session,
            session.post(self.store_control, json=faults) as reply,
        ):
            reply.raise_for_status()

    async def set_upstream(self, worker, **faults):
        """Set the faults of the upstream beside a worker.

        Args:
          worker: A string, the worker's name.
          **faults: The arguments of FakeUpstream.set_faults.
        """
        url = f"http://{_HOST}:{self.upstream_ports[worker]}/control"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, json=faults) as reply,
        ):
            reply.raise_for_status()

    async def counts(self, names=None):
        """Read how much the observed processes have sent so far.

        Args:
          names: A sequence of strings; None for all entries and workers.

        Returns:
          A dict from the name of a process to a dict of `messages` and `bytes`,
          both by type of message. Processes that do not run are left out.
        """
        names = names or (*self.entry_names, *self.worker_names)
        running = [name for name in names if self.processes[name].returncode is None]
        paths = {name: self.folder / f"{name}.counts" for name in running}
        for name, path in paths.items():
            path.unlink(missing_ok=True)
            self.processes[name].send_signal(signal.SIGUSR1)
        async with asyncio.timeout(clock.seconds(_READY_TIMEOUT_MS)):
            while not all(path.exists() for path in paths.values()):
                await asyncio.sleep(clock.seconds(_POLL_INTERVAL_MS))
        return {
            name: json.loads(path.read_text(encoding="utf-8"))
            for name, path in paths.items()
        }

    def starts(self):
        """Read the starts that the upstreams logged.

        Returns:
          A list of upstream.Started, in the order of time.
        """
        return self._read_logs("*.starts")

    def ends(self):
        """Read the ends that the upstreams logged, one for each answered task.

        Returns:
          A list of upstream.Started with the times of the answers, in the order of
          time.
        """
        return self._read_logs("*.ends")

    async def stop(self):
        """End every process that this cluster started."""
        for relay in self.relays.values():
            relay.heal()
        for process in self.processes.values():
            if process.returncode is None:
                # A frozen process doesn't act on SIGTERM before SIGCONT.
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes.values():
            try:
                async with asyncio.timeout(clock.seconds(_STOP_TIMEOUT_MS)):
                    await process.wait()
            except TimeoutError:
                process.kill()
                await process.wait()
        for relay in self.relays.values():
            await relay.close()

    def _read_logs(self, pattern):
        rows = []
        for path in self.folder.glob(pattern):
            for line in path.read_text(encoding="utf-8").splitlines():
                rows.append(upstream.Started(**json.loads(line)))
        return sorted(rows, key=lambda row: row.wall_ms)

    async def _wait_entry(self, session, name, workers):
        if self.processes[name].returncode is not None:
            return
        while True:
            with contextlib.suppress(aiohttp.ClientError, OSError):
                async with session.get(self.entry_url(name) + "/ready") as reply:
                    body = await reply.json()
                    if reply.status == 200 and body["workers"] >= workers:
                        return
            await asyncio.sleep(clock.seconds(_POLL_INTERVAL_MS))

    def _write_all_settings(self):
        ports = (str(self._store_port), "--control-port", str(self._store_control_port))
        self._commands["store"] = ("-m", "jujubeglade.fakes.store", "--port", *ports)
        for name in self.entry_names:
            self._write_settings(name, self._entry_settings(name))
        upstreams = [self._write_worker_settings(name) for name in self.worker_names]
        choices = self.folder / "observed.json"
        choices.write_text(json.dumps(self.shape.choices), encoding="utf-8")
        path = self.folder / "fleet.json"
        path.write_text(json.dumps(upstreams), encoding="utf-8")
        self._commands["upstreams"] = ("-m", "jujubeglade.fakes.fleet", str(path))

    def _common_settings(self, name, zone, stream_port):
        entries = {
            entry: f"{_HOST}:{self._port_via_relay(name, entry, port)}"
            for entry, port in self._stream_ports.items()
        }
        return {
            "name": name,
            "zone": zone,
            "rack": "rack-1",
            "cluster_key": CLUSTER_KEY,
            "log_level": "warning",
            "stream": f"{_HOST}:{stream_port}",
            "entries": entries,
            "limits": dict(self.shape.limits),
        }

    def _port_via_relay(self, dialer, target, port):
        """Return the port that a dialer uses: with relays, that of a new relay."""
        if not self.shape.relays or dialer == target:
            return port
        relay_port = self._ports.pop()
        self._relay_ports[(dialer, target)] = (relay_port, port)
        return relay_port

    def _entry_settings(self, name):
        zone = self.shape.zones[self.entry_names.index(name) % len(self.shape.zones)]
        return self._common_settings(name, zone, self._stream_ports[name]) | {
            "role": "entry",
            "http": f"{_HOST}:{self.http_ports[name]}",
            "store": {"address": f"http://{_HOST}:{self._store_port}"},
            "caller_tokens": CALLER_TOKENS,
            "operator_tokens": OPERATOR_TOKENS,
        }

    def _write_worker_settings(self, name):
        zone = self.zone_of(name)
        announce = self._ports.pop()
        stream_port = self._ports.pop()
        fields = self._common_settings(name, zone, stream_port)
        if self.shape.relays:
            relay_port = self._port_via_relay("*", name, stream_port)
            fields["advertise"] = f"{_HOST}:{relay_port}"
        rack = self.worker_names.index(name) // _WORKERS_PER_RACK
        fields |= {
            "role": "agent",
            "rack": f"rack-{rack + 1}",
            "http": f"{_HOST}:{self._ports.pop()}",
            "announce": f"{_HOST}:{announce}",
        }
        self._write_settings(name, fields)
        self.upstream_ports[name] = self._ports.pop()
        return {
            "name": name,
            "zone": zone,
            "service": self.shape.service,
            "slots": self.shape.slots,
            "connections": self.shape.connections,
            "port": self.upstream_ports[name],
            "agent": f"http://{_HOST}:{announce}",
            "log": str(self.folder / f"{name}.starts"),
        }

    def _write_settings(self, name, fields):
        path = self.folder / f"{name}.json5"
        path.write_text(json.dumps(fields, indent=2), encoding="utf-8")
        self._commands[name] = (
            "-m",
            self.shape.program,
            *self.shape.arguments,
            str(path),
        )


@contextlib.asynccontextmanager
async def start(shape):
    """Start a cluster and stop it when the block ends.

    Args:
      shape: A Shape.

    Yields:
      A Cluster that is ready.
    """
    with tempfile.TemporaryDirectory(prefix="jujubeglade-") as folder:
        cluster = Cluster(shape, pathlib.Path(folder))
        try:
            await cluster.launch()
            yield cluster
        finally:
            await cluster.stop()


def resident_kib(process):
    """Read how much memory a process uses.

    Args:
      process: An asyncio subprocess.

    Returns:
      An integer, the resident KiB.
    """
    return _status_kib(process, "VmRSS")


def peak_resident_kib(process):
    """Read the most memory that a process has used so far; see `resident_kib`."""
    return _status_kib(process, "VmHWM")


def _status_kib(process, field):
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
    line = next(row for row in status.splitlines() if row.startswith(f"{field}:"))
    return int(line.split()[1])


def processor_ms(process):
    """Read how much processor time a process has used.

    Args:
      process: An asyncio subprocess.

    Returns:
      A float, the ms of user and system time.
    """
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text(encoding="ascii")
    user, system = fields.rsplit(") ", 1)[1].split()[11:13]
    ticks = os.sysconf("SC_CLK_TCK")
    return (int(user) + int(system)) * clock.MILLISECONDS_PER_SECOND / ticks
