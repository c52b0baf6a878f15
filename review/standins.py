"""Stand-ins for the review's scripts: the platform's store, workers, clients, balancer.

They follow PROTOCOL.md and nothing else: no fault of their own is injected. The
entries and agents that `Deployment` starts are the project's own programs, by the
commands of deploy/system.toml, with the settings of platform/settings.json5 for the
bounds of the small deployments.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib

import aiohttp
from aiohttp import web

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

#: Exit statuses of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2

#: Bounds of sites/mrdpa-sched.toml and sites/armor-neige-sched.toml, in ms.
CONTACT_TIMEOUT_MS = 3000
HEARTBEAT_MS = 1500
HOLD_MAX_MS = 1000
STOP_MS = 30
CANCEL_MS = 3000
EVACUATION_MS = 5000
_STORE_ANSWER_S = 0.004
#: The longest time that a script takes, below the 120 s that it may.
_MAX_RUN_S = 110


def now_ms():
    """Return the steady clock in ms."""
    return time.monotonic() * 1000


class Record:
    """What was sent, answered and run, with the times since the start."""

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._started_ms = now_ms()
        self.lines = []

    def note(self, text, at_ms=None):
        """Add a line; return the time that it has, on the steady clock."""
        at_ms = now_ms() if at_ms is None else at_ms
        self.lines.append(f"{at_ms - self._started_ms:9.1f} ms  {text}")
        return at_ms

    def since_start(self, at_ms):
        """Return a time as the record shows it."""
        return at_ms - self._started_ms

    def write(self):
        """Write the file."""
        self._path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


class Store:
    """The platform's key-value store. A transaction is one change of the revision."""

    def __init__(self, record):
        self._record = record
        self._revision = 1
        self._items = {}
        self._history = []
        self._leases = {}
        self._next_lease = 100
        self._changed = asyncio.Event()
        self._runner = None
        self.address = ""

    async def open(self, host, port):
        app = web.Application()
        app.router.add_get("/jujubeglade/kv-key", self._get)
        app.router.add_get("/jujubeglade/kv-range", self._range)
        app.router.add_get("/jujubeglade/kv-watch", self._watch)
        app.router.add_post("/jujubeglade/kv-txn", self._txn)
        app.router.add_post("/jujubeglade/kv-lease", self._grant)
        app.router.add_post("/jujubeglade/kv-keep/{id}", self._keep)
        app.router.add_delete("/jujubeglade/kv-lease-end/{id}", self._end)
        self._runner = await _serve(app, host, port)
        self.address = f"{host}:{port}"

    async def close(self):
        for timer in self._leases.values():
            timer[1].cancel()
        await self._runner.cleanup()

    def operator_writes(self, values=None, removed=()):
        """Carry out one transaction of the operator; return the time of its ack.

        Args:
          values: A dict from key to what is written as JSON.
          removed: Keys.
        """
        values = values or {}
        encoded = {key: json.dumps(value).encode() for key, value in values.items()}
        self._apply(encoded, removed, 0)
        names = [f"set {key}" for key in values] + [f"remove {key}" for key in removed]
        return self._record.note(
            f"operator: one kv-txn: {', '.join(names)}; ack, revision {self._revision}"
        )

    def _apply(self, values, removed, lease):
        present = [key for key in removed if key in self._items]
        if not values and not present:
            return
        self._revision += 1
        for key, value in values.items():
            created = self._items.get(key, {}).get("created", self._revision)
            self._items[key] = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self._revision,
                "created": created,
                "lease": lease,
            }
            self._history.append(self._items[key])
        for key in present:
            del self._items[key]
            self._history.append(
                {"key": key, "revision": self._revision, "deleted": True}
            )
        self._changed.set()
        self._changed = asyncio.Event()

    async def _get(self, request):
        await asyncio.sleep(_STORE_ANSWER_S)
        item = self._items.get(request.query["key"])
        if item is None:
            return web.json_response({"at": self._revision}, status=404)
        return web.json_response(item | {"at": self._revision})

    async def _range(self, request):
        await asyncio.sleep(_STORE_ANSWER_S)
        after = request.query.get("after", "")
        prefix = request.query["prefix"]
        items = [
            self._items[key]
            for key in sorted(self._items)
            if key.startswith(prefix) and key > after
        ]
        return web.json_response(
            {"items": items, "hasMore": False, "at": self._revision}
        )

    async def _watch(self, request):
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        end_s = time.monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                break
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass
        await asyncio.sleep(_STORE_ANSWER_S)
        at = max([after, *(event["revision"] for event in events)])
        return web.json_response({"events": events, "at": at})

    async def _txn(self, request):
        await asyncio.sleep(_STORE_ANSWER_S)
        body = await request.json()
        rows = body.get("setKeys", [])
        removed = body.get("remove", [])
        keys = [row["key"] for row in rows] + removed
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return web.json_response({}, status=403)
        for row in body.get("expect", []):
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                items = [item] if item else []
                return web.json_response({"items": items}, status=412)
        lease = max((row.get("lease", 0) for row in rows), default=0)
        if lease and lease not in self._leases:
            return web.json_response({}, status=404)
        values = {row["key"]: base64.b64decode(row["value"]) for row in rows}
        self._apply(values, removed, lease)
        return web.json_response({"revision": self._revision})

    async def _grant(self, request):
        await asyncio.sleep(_STORE_ANSWER_S)
        ttl_ms = (await request.json())["ttlMs"]
        self._next_lease += 1
        self._arm(self._next_lease, ttl_ms)
        return web.json_response({"lease": self._next_lease, "ttlMs": ttl_ms})

    async def _keep(self, request):
        await asyncio.sleep(_STORE_ANSWER_S)
        lease = int(request.match_info["id"])
        if lease not in self._leases:
            return web.json_response({}, status=404)
        ttl_ms, timer = self._leases[lease]
        timer.cancel()
        self._arm(lease, ttl_ms)
        return web.json_response({"ttlMs": ttl_ms})

    async def _end(self, request):
        self._lapse(int(request.match_info["id"]))
        return web.json_response({})

    def _arm(self, lease, ttl_ms):
        loop = asyncio.get_running_loop()
        timer = loop.call_later(ttl_ms / 1000, self._lapse, lease)
        self._leases[lease] = (ttl_ms, timer)

    def _lapse(self, lease):
        entry = self._leases.pop(lease, None)
        if entry is None:
            return
        entry[1].cancel()
        keys = [key for key, item in self._items.items() if item["lease"] == lease]
        self._apply({}, keys, 0)


class Start:
    """One run of a task at a worker."""

    def __init__(self, task, run, worker, zone, at_ms):
        self.task = task
        self.run = run
        self.worker = worker
        self.zone = zone
        self.at_ms = at_ms
        self.end_ms = None
        self.how = ""


class Worker:
    """A sound worker. A task runs as long as the job's spec says for its step."""

    def __init__(self, record, name, zone, control, cores=32):
        self._record = record
        self.name = name
        self.zone = zone
        self._control = control
        self._cores = cores
        self._born = int(time.time() * 1000)
        self._clock_from_ms = now_ms()
        self._token = 0
        self._running = {}
        self._highest_ended = {}
        self._finished = []
        self._end_count = 0
        self._lease_until_ms = 0.0
        self._lease_timer = None
        self._ended = asyncio.Event()
        self._sequence = 0
        self._runner = None
        self._reporting = None
        self.starts = []
        self.address = ""

    async def open(self, host, port):
        app = web.Application()
        app.router.add_post("/jujubeglade/run-start", self._on_start)
        app.router.add_post("/jujubeglade/run-stop", self._on_stop)
        app.router.add_post("/jujubeglade/hold", self._on_hold)
        self._runner = await _serve(app, host, port)
        self.address = f"{host}:{port}"
        self._reporting = asyncio.create_task(self._report())

    async def close(self):
        self._reporting.cancel()
        await asyncio.gather(self._reporting, return_exceptions=True)
        await self._runner.cleanup()

    def _clock_ms(self):
        return int(now_ms() - self._clock_from_ms)

    async def _report(self):
        url = f"http://{self._control}/jujubeglade/instances/{self.name}"
        async with aiohttp.ClientSession() as session:
            while True:
                self._sequence += 1
                body = {
                    "service": "svc-1",
                    "address": self.address,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "coldRemainingMs": 0,
                    "capacity": {
                        "cpu": self._cores * 1000,
                        "requestedMemoryMb": 131072,
                        "gpu": 0,
                    },
                    "labels": ["a", "r1-1"],
                    "clockMs": self._clock_ms(),
                    "sequence": self._sequence,
                    "born": self._born,
                }
                pause_s = HEARTBEAT_MS / 1000
                try:
                    async with session.put(url, json=body) as response:
                        await response.read()
                except aiohttp.ClientError:
                    pause_s = 0.2
                await asyncio.sleep(pause_s)

    async def _read(self, request):
        """Return the body, and the refusal of the call, which is None if it counts."""
        body = await request.json()
        if request.headers.get("X-Expected-Instance", self.name) != self.name:
            return body, web.json_response({}, status=421)
        if body.get("fencingToken", 0) < self._token:
            return body, self._answer({"reason": "fence"}, 409)
        self._token = body.get("fencingToken", 0)
        return body, None

    def _answer(self, fields, status=200):
        return web.json_response({"clockMs": self._clock_ms()} | fields, status=status)

    def _extend(self, deadline_ms):
        if deadline_ms is None:
            return
        latest_ms = self._clock_ms() + HOLD_MAX_MS
        self._lease_until_ms = max(self._lease_until_ms, min(deadline_ms, latest_ms))
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        left_ms = self._lease_until_ms - self._clock_ms()
        loop = asyncio.get_running_loop()
        self._lease_timer = loop.call_later(left_ms / 1000, self._lapse)

    def _lapse(self):
        for task in list(self._running):
            self._finish(task, "lapsed")

    async def _on_start(self, request):
        body, refusal = await self._read(request)
        if refusal is not None:
            return refusal
        task, run = body["task"], body["run"]
        if body["deadlineMs"] <= self._clock_ms():
            return self._answer({"reason": "late"}, 409)
        self._extend(body["deadlineMs"])
        if task in self._running and self._running[task][0].run == run:
            return self._answer({})
        if task in self._running or run <= self._highest_ended.get(task, 0):
            return self._answer({"reason": "old"}, 409)
        step = int(task.split(".")[2])
        work_ms = json.loads(body["spec"])["ms"][step]
        start = Start(task, run, self.name, self.zone, now_ms())
        self._record.note(
            f"{self.name} ({self.zone}): start of {task}, run {run}", start.at_ms
        )
        loop = asyncio.get_running_loop()
        timer = loop.call_later(work_ms / 1000, self._finish, task, "done")
        self._running[task] = (start, timer)
        self.starts.append(start)
        return self._answer({})

    async def _on_stop(self, request):
        body, refusal = await self._read(request)
        if refusal is not None:
            return refusal
        task, run = body["task"], body["run"]
        if task in self._running and self._running[task][0].run <= run:
            start, timer = self._running[task]
            timer.cancel()
            loop = asyncio.get_running_loop()
            timer = loop.call_later(STOP_MS / 1000, self._finish, task, "stopped")
            self._running[task] = (start, timer)
        elif task not in self._running:
            highest = self._highest_ended.get(task, 0)
            self._highest_ended[task] = max(run, highest)
        return self._answer({})

    def _finish(self, task, how):
        if task not in self._running:
            return
        start, timer = self._running.pop(task)
        timer.cancel()
        start.end_ms = now_ms()
        start.how = how
        self._end_count += 1
        self._highest_ended[task] = max(start.run, self._highest_ended.get(task, 0))
        self._finished.append([self._end_count, task, start.run, how, ""])
        self._record.note(f"{self.name} ({self.zone}): end of {task}: {how}")
        self._ended.set()
        self._ended = asyncio.Event()

    async def _on_hold(self, request):
        body, refusal = await self._read(request)
        if refusal is not None:
            return refusal
        self._extend(body.get("deadlineMs"))
        cursor = body.get("ackCursor", 0)
        self._finished = [row for row in self._finished if row[0] > cursor]
        if not self._finished and body.get("waitMs"):
            try:
                await asyncio.wait_for(self._ended.wait(), body["waitMs"] / 1000)
            except TimeoutError:
                pass
        running = [
            [task, start.run, "", 100, 1000]
            for task, (start, _) in self._running.items()
        ]
        return self._answer(
            {
                "born": self._born,
                "running": running,
                "finished": self._finished[:500],
            }
        )


class Answer:
    """What a client got; the status is 0 when the channel broke."""

    def __init__(self, status, body, at_ms):
        self.status = status
        self.body = body
        self.at_ms = at_ms


class Program:
    """One process of the project."""

    def __init__(self, name, run, path, log_path):
        self.name = name
        self._run = run
        self._path = path
        self._log_path = log_path
        self.process = None

    async def start(self):
        with self._log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._run,
                cwd=ROOT,
                env={
                    **os.environ,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "JUJUBEGLADE_NODE_FILE": str(self._path),
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Deployment:
    """A small deployment: a store, entries, and agents with a worker each."""

    def __init__(self, record, entry_zones, worker_zones):
        self.record = record
        self.store = Store(record)
        self.workers = []
        self.programs = []
        self.front_addresses = []
        self.readiness_addresses = []
        self._entry_zones = entry_zones
        self._worker_zones = worker_zones
        self._net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._session = None

    @property
    def starts(self):
        """Return all starts at all workers, in order."""
        every = [start for worker in self.workers for start in worker.starts]
        return sorted(every, key=lambda start: start.at_ms)

    async def open(self):
        """Start everything; wait until it serves and its machines are in touch."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        roles = deploy["roles"]
        self._session = aiohttp.ClientSession()
        count = len(self._entry_zones) + len(self._worker_zones)
        hosts = [f"{self._net}.{10 + index}" for index in range(count + 1)]
        stream, front, ready, control, app, store, metrics = _free_ports(hosts, 7)
        await self.store.open(hosts[-1], store)
        self.store.operator_writes({"op/config": _configuration(1)})
        entry_hosts = hosts[: len(self._entry_zones)]
        common = {
            "platform": "users",
            "cluster_key": "streams-of-this-installation",
            "log_level": "info",
            "seeds": [f"{host}:{control}" for host in entry_hosts[:3]],
            "store": {
                "driver": "platform",
                "address": f"http://{self.store.address}",
                "timeout_ms": 1000,
            },
            "hold_ms": HOLD_MAX_MS,
            "grace_ms": 6000,
            "coordinate_from": 6,
        }
        for index, (host, zone) in enumerate(
            zip(entry_hosts, self._entry_zones, strict=True)
        ):
            self.front_addresses.append(f"{host}:{front}")
            self.readiness_addresses.append(f"{host}:{ready}")
            await self._start(
                roles["direct-entry"]["run"],
                common
                | {
                    "role": "direct-entry",
                    "name": f"frontend-{zone}-{index + 1}",
                    "zone": zone,
                    "stream": f"{host}:{stream}",
                    "metrics": f"{host}:{metrics}",
                    "remote_penalty": 1.5,
                    "clients": f"{host}:{front}",
                    "readiness": f"{host}:{ready}",
                },
            )
        agent_hosts = hosts[len(self._entry_zones) : -1]
        for index, (host, zone) in enumerate(
            zip(agent_hosts, self._worker_zones, strict=True)
        ):
            worker = Worker(
                self.record, f"i-{index + 1}", zone, f"{host}:{control}"
            )
            self.workers.append(worker)
            await self._start(
                roles["direct-agent"]["run"],
                common
                | {
                    "role": "direct-agent",
                    "name": f"side-{zone}-{index + 1}",
                    "zone": zone,
                    "stream": f"{host}:{stream}",
                    "metrics": f"{host}:{metrics}",
                    "contact_timeout_ms": CONTACT_TIMEOUT_MS,
                    "report_interval_ms": HEARTBEAT_MS,
                    "resubmit_ms": 1300,
                    "control": f"{host}:{control}",
                    "worker": f"{host}:{app}",
                },
            )
            await worker.open(host, app)
        await self._wait_served()
        # A machine is in touch once this long has passed since its start.
        await asyncio.sleep((CONTACT_TIMEOUT_MS + 1000) / 1000)
        self.record.note("the deployment serves, and its machines are in touch")

    async def close(self):
        """End all processes that were started."""
        for program in self.programs:
            await program.end()
        for worker in self.workers:
            await worker.close()
        if self._session is not None:
            await self._session.close()
        await self.store.close()
        self._folder.cleanup()

    async def _start(self, command, settings):
        folder = pathlib.Path(self._folder.name)
        name = settings["name"]
        path = folder / f"{name}.json5"
        path.write_text(json.dumps(settings), encoding="utf-8")
        program = Program(name, command.split(), path, folder / f"{name}.log")
        self.programs.append(program)
        await program.start()

    async def _wait_served(self):
        """Wait until each entry serves a job that needs a worker of its own."""
        end_ms = now_ms() + 30_000
        for index in range(len(self.front_addresses)):
            while True:
                answer = await self.post(index, new_id(), job([1], [50]), 3000)
                if answer.status == 200 and answer.body.get("state") == "completed":
                    break
                if now_ms() > end_ms:
                    raise RuntimeError("the deployment does not serve")
                await asyncio.sleep(0.3)

    async def ready(self, index):
        """Return whether an entry says that it is ready."""
        url = f"http://{self.readiness_addresses[index]}/jujubeglade/readiness"
        timeout = aiohttp.ClientTimeout(total=0.9)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def post(self, index, job_id, body, deadline_ms, address=None):
        """Submit a job at an entry, on a channel of its own."""
        return await self.request("POST", index, job_id, body, deadline_ms, address)

    async def delete(self, index, job_id, address=None):
        """Cancel a job at an entry, on a channel of its own."""
        return await self.request("DELETE", index, job_id, None, 3000, address)

    async def request(self, method, index, job_id, body, deadline_ms, address=None):
        """Send one request; see `Answer`."""
        entry = f"entry {index + 1}"
        self.record.note(f"client: {method} {job_id} to {entry}")
        target = address or self.front_addresses[index]
        headers = {
            "Host": "desk.example",
            "X-Deadline-Ms": str(deadline_ms),
            "Content-Type": "application/json",
            "Connection": "close",
        }
        data = b"" if body is None else json.dumps(body).encode()
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                answer = await _exchange(
                    target, method, f"/desk/{job_id}", headers, data
                )
        except (OSError, EOFError, TimeoutError) as error:
            answer = Answer(0, {"error": repr(error)}, now_ms())
        self.record.note(
            f"client: {method} {job_id} answered by {entry}: {answer.status} "
            f"{json.dumps(answer.body)}",
            answer.at_ms,
        )
        return answer


async def _exchange(target, method, path, headers, data):
    """Send one request on a new channel, once, and read the answer.

    A client library would repeat some requests by itself, on a channel to the same
    node.
    """
    host, _, port = target.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(data)}", "", ""]
        writer.write("\r\n".join(lines).encode() + data)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        status = int(head[0].split()[1])
        fields = dict(line.lower().split(": ", 1) for line in head[1:] if line)
        text = await reader.readexactly(int(fields.get("content-length", "0")))
    finally:
        writer.transport.abort()
    return Answer(status, json.loads(text or b"{}"), now_ms())


class ResettingProxy:
    """The balancer's path to one entry; it resets the channels that it is told to."""

    def __init__(self, record, target):
        self._record = record
        self._target = target
        self._server = None
        #: How many of the next channels are reset once their request has arrived.
        self.resets = 0
        self.address = ""

    async def open(self):
        host = self._target.partition(":")[0]
        (port,) = _free_ports([host], 1)
        self._server = await asyncio.start_server(self._accept, host, port)
        self.address = f"{host}:{port}"

    async def close(self):
        self._server.close()

    async def _accept(self, reader, writer):
        if self.resets:
            self.resets -= 1
            await reader.read(65536)
            self._record.note("a channel of a client is reset")
            writer.transport.abort()
            return
        host, _, port = self._target.partition(":")
        onward_reader, onward_writer = await asyncio.open_connection(host, int(port))
        await asyncio.gather(
            _copy(reader, onward_writer), _copy(onward_reader, writer)
        )


async def _copy(reader, writer):
    try:
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    except OSError:
        pass
    writer.close()


def new_id():
    """Return a new id of a job."""
    return f"{random.getrandbits(64):016x}"


def job(counts, work_ms, cpu=3100):
    """Build a best-effort job; each step comes after the one before it.

    Args:
      counts: The number of tasks of each step.
      work_ms: The run time of the tasks of each step.
      cpu: Thousandths of a core for each task.
    """
    steps = []
    for number, (count, ms) in enumerate(zip(counts, work_ms, strict=True)):
        step = {
            "count": count,
            "cpu": cpu,
            "requestedMemoryMb": 64,
            "estimatedRuntimeMs": ms,
        }
        if number:
            step["after"] = [number - 1]
        steps.append(step)
    return {"bestEffort": True, "spec": json.dumps({"ms": work_ms}), "steps": steps}


def _configuration(version):
    return {
        "version": version,
        "routes": [
            {
                "name": "r-desk",
                "host": "desk.example",
                "prefix": "/desk/",
                "kind": "non_idempotent",
                "service": "svc-1",
                "timeoutMs": 1500,
                "targetLatencyMs": 60,
                "priority": 0,
                "maxAttempts": 3,
                "slackFactor": 1.6,
            }
        ],
        "services": [
            {"name": "svc-1", "healthPath": "/health", "admissionCheck": False}
        ],
        "limits": {"maxBodyBytes": 262144},
    }


def _free_ports(hosts, count):
    """Return ports that are free on all of some loopback addresses."""
    ports = []
    for port in random.sample(range(23_000, 32_000), 9_000):
        if _is_free(hosts, port):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise RuntimeError("no free ports")


def _is_free(hosts, port):
    for host in hosts:
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


async def _serve(app, host, port):
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner


def main(case_path, entry_zones, worker_zones, play):
    """Run a case, write its record, and exit.

    Args:
      case_path: The path of the case's file; `record.txt` is written beside it.
      entry_zones: The zones of the entries.
      worker_zones: The zones of the workers.
      play: A coroutine function of a Deployment that returns the list of what broke
        the rule, as texts.
    """
    record = Record(pathlib.Path(case_path).parent / "record.txt")
    record.note(f"TROUBLE={int(TROUBLE)}")
    try:
        broken = asyncio.run(_run(record, entry_zones, worker_zones, play))
    except Exception as error:
        record.note(f"the case could not run: {error!r}")
        record.write()
        print(f"not run: {error!r}")
        sys.exit(NOT_RUN)
    for text in broken:
        record.note(f"BROKEN: {text}")
        print(f"broken: {text}")
    record.note("the rule was broken" if broken else "the rule held")
    record.write()
    if not broken:
        print("the rule held")
    sys.exit(BROKEN if broken else HELD)


async def _run(record, entry_zones, worker_zones, play):
    deployment = Deployment(record, entry_zones, worker_zones)
    running = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, running.cancel)
    try:
        async with asyncio.timeout(_MAX_RUN_S):
            await deployment.open()
            return await play(deployment)
    finally:
        await deployment.close()
