"""Stand-ins for the platform of jujubeglade's users, for the scripts of this review.

A store, workers, clients and an operator in one process, over the published HTTP
protocol. The entries and agents are the product's own programs, started with the
command of the deploy file. All addresses are loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time

import aiohttp
from aiohttp import web

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "parts.example"
PREFIX = "/stock/"
SERVICE = "parts"
#: Bounds of the small installations.
HOLD_MAX_MS = 1000
STOP_MS = 30
HEARTBEAT_MS = 1500
RESEND_MS = 1300
CONTACT_TIMEOUT_MS = 3000
TIME_BUDGET_MS = 1500


def now_ms():
    """Return the monotonic clock in milliseconds."""
    return time.monotonic() * 1000


class Record:
    """What was sent, answered and run; written to a file as JSON lines."""

    def __init__(self, path):
        """Open the file."""
        self._file = open(path, "w", encoding="utf-8")
        self._started_ms = now_ms()

    def note(self, what, **fields):
        """Write one line."""
        at_ms = round(now_ms() - self._started_ms, 1)
        line = {"at_ms": at_ms, "what": what} | fields
        if not self._file.closed:
            self._file.write(json.dumps(line) + "\n")

    def close(self):
        """Close the file."""
        self._file.close()


class Store:
    """The platform's store: keys, leases and a history for watches.

    All keys of one change get the same revision; the events of one change are listed in
    the order of their keys.
    """

    def __init__(self, record):
        """Create an empty store."""
        self._record = record
        self.revision = 1
        self.items = {}
        self._history = []
        self._leases = {}
        self._next_lease = 100
        self._changed = asyncio.Event()
        self._runner = None

    async def open(self, host, port):
        """Listen."""
        app = web.Application()
        app.router.add_get("/jujubeglade/kv-key", self._get)
        app.router.add_get("/jujubeglade/kv-range", self._range)
        app.router.add_get("/jujubeglade/kv-watch", self._watch)
        app.router.add_post("/jujubeglade/kv-txn", self._txn)
        app.router.add_post("/jujubeglade/kv-lease", self._grant)
        app.router.add_post("/jujubeglade/kv-keep/{id}", self._keep)
        app.router.add_delete("/jujubeglade/kv-lease-end/{id}", self._end)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def close(self):
        """Stop listening."""
        await self._runner.cleanup()

    def change(self, sets, removes=(), lease=0):
        """Apply one change, all or nothing, at one revision."""
        self._expire()
        self.revision += 1
        events = []
        for key, value in sets.items():
            created = self.items.get(key, {}).get("created", self.revision)
            item = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created": created,
                "lease": lease,
            }
            self.items[key] = item
            events.append(item)
        for key in removes:
            if self.items.pop(key, None) is not None:
                events.append({"key": key, "revision": self.revision, "deleted": True})
        self._history += sorted(events, key=lambda event: event["key"])
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    def operate(self, sets, removes=()):
        """Write keys as the operator does, in one change, and record the ack."""
        values = {key: json.dumps(value).encode() for key, value in sets.items()}
        revision = self.change(values, removes)
        self._record.note(
            "operator", set=sorted(sets), removed=sorted(removes), revision=revision
        )

    def _expire(self):
        for lease, (until_ms, _) in list(self._leases.items()):
            if now_ms() > until_ms:
                self._drop(lease)

    def _drop(self, lease):
        self._leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.change({}, keys)

    async def _get(self, request):
        self._expire()
        item = self.items.get(request.query["key"])
        if item is None:
            return web.json_response({"at": self.revision}, status=404)
        return web.json_response(item | {"at": self.revision})

    async def _range(self, request):
        self._expire()
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix))
        items = [self.items[key] for key in keys if key > after]
        body = {"items": items, "hasMore": False, "at": self.revision}
        return web.json_response(body)

    async def _watch(self, request):
        prefix, after = request.query["prefix"], int(request.query["after"])

        def events():
            return [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(request.query["waitMs"]) / 1000):
                while not events():
                    await self._changed.wait()
        return web.json_response({"events": events(), "at": self.revision})

    async def _txn(self, request):
        self._expire()
        body = await request.json()
        current = [
            self.items.get(row["key"], {"key": row["key"], "revision": 0})
            for row in body["expect"]
        ]
        if any(
            item["revision"] != row["revision"]
            for item, row in zip(current, body["expect"], strict=True)
        ):
            return web.json_response({"items": current}, status=412)
        lease = max((row.get("lease", 0) for row in body["setKeys"]), default=0)
        if lease and lease not in self._leases:
            return web.json_response({}, status=404)
        sets = {row["key"]: base64.b64decode(row["value"]) for row in body["setKeys"]}
        return web.json_response({"revision": self.change(sets, body["remove"], lease)})

    async def _grant(self, request):
        ttl_ms = (await request.json())["ttlMs"]
        self._next_lease += 1
        self._leases[self._next_lease] = (now_ms() + ttl_ms, ttl_ms)
        return web.json_response({"lease": self._next_lease, "ttlMs": ttl_ms})

    async def _keep(self, request):
        self._expire()
        lease = int(request.match_info["id"])
        if lease not in self._leases:
            return web.json_response({}, status=404)
        ttl_ms = self._leases[lease][1]
        self._leases[lease] = (now_ms() + ttl_ms, ttl_ms)
        return web.json_response({"ttlMs": ttl_ms})

    async def _end(self, request):
        self._drop(int(request.match_info["id"]))
        return web.json_response({})


class Run:
    """One run of a task on a worker."""

    def __init__(self, task, number, cpu, run_ms):
        """Create a run that has just started."""
        self.task = task
        self.number = number
        self.cpu = cpu
        #: When it ends, by itself or by a stop, and how.
        self.end_ms = now_ms() + run_ms
        self.how = "done"
        self.timer = None


class Worker:
    """One worker: runs tasks under a lease, and reports to its machine's address.

    The spec of a task is its run time in ms and its cpu, separated by a space.
    """

    def __init__(self, name, zone, address, control, record, cpu=32000, labels=("a",)):
        """Create a worker; `open` starts it."""
        self.name = name
        self.zone = zone
        self.cpu = cpu
        self.labels = list(labels)
        self.control = control
        self.address = address
        self.service = SERVICE
        self.state = "ready"
        self.is_reporting = True
        #: A coroutine function of a path and the fields; returns a response to use
        #: in place of the worker's own, or None.
        self.intercept = None
        self.on_start = None
        self.starts = 0
        self._record = record
        self._runner = None
        self._reporting = None
        self._session = None
        self.boot()

    def boot(self):
        """Begin a life: hold and know nothing of before."""
        self.born = int(time.time() * 1000)
        self._clock_zero_ms = now_ms()
        self.runs = {}
        self._finished = []
        self._ended_runs = {}
        self._ends = 0
        self.token = 0
        self._lease_until = 0
        self._lease_timer = None
        self._sequence = 0
        self._ended = asyncio.Event()

    @property
    def clock_ms(self):
        """Return the worker's own clock."""
        return int(now_ms() - self._clock_zero_ms) + 1000

    @property
    def used_cpu(self):
        """Return the cpu of all runs, also of those that are being stopped."""
        return sum(run.cpu for run in self.runs.values())

    async def crash(self):
        """End at once with everything that runs, and don't listen any more."""
        for run in list(self.runs.values()):
            self._end(run, "crash")
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        await self.close()

    async def restart(self, first_report_s=0.0):
        """Start again under the same id, with another `born`."""
        self.boot()
        await self.open(first_report_s)

    async def open(self, first_report_s=0.0):
        """Listen and report."""
        app = web.Application()
        for path, handler in (
            ("/jujubeglade/run-start", self._start),
            ("/jujubeglade/run-stop", self._stop),
            ("/jujubeglade/hold", self._hold),
        ):
            app.router.add_post(path, self._served(path, handler))
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, *self.address).start()
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=1.0)
        )
        self._reporting = asyncio.create_task(self._report_forever(first_report_s))

    async def close(self):
        """Stop."""
        self._reporting.cancel()
        await asyncio.gather(self._reporting, return_exceptions=True)
        await self._session.close()
        await self._runner.cleanup()

    def _served(self, path, handler):
        async def serve(request):
            fields = await request.json()
            if self.intercept is not None:
                response = await self.intercept(path, fields, request)
                if response is not None:
                    return response
            if request.headers.get("X-Expected-Instance") != self.name:
                return web.json_response({"clockMs": self.clock_ms}, status=421)
            self.catch_up()
            token = fields.get("fencingToken", 0)
            if token < self.token:
                return self._conflict("fence")
            self.token = token
            return await handler(fields)

        return serve

    def report_fields(self):
        """Return the next report."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.cpu, "requestedMemoryMb": 131072, "gpu": 0},
            "labels": self.labels,
            "clockMs": self.clock_ms,
            "sequence": self._sequence,
            "born": self.born,
        }

    async def report(self):
        """Send one report; return the status, or 0 without an answer."""
        url = f"http://{self.control}/jujubeglade/instances/{self.name}"
        try:
            async with self._session.put(url, json=self.report_fields()) as answer:
                return answer.status
        except (aiohttp.ClientError, TimeoutError):
            return 0

    async def _report_forever(self, first_report_s):
        await asyncio.sleep(first_report_s)
        while True:
            if self.is_reporting:
                await self.report()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def _conflict(self, reason):
        body = {"clockMs": self.clock_ms, "reason": reason}
        return web.json_response(body, status=409)

    def _extend(self, until):
        if until is None:
            return
        until = min(until, self.clock_ms + HOLD_MAX_MS)
        if until <= self._lease_until:
            return
        self._lease_until = until
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        loop = asyncio.get_running_loop()
        left_s = max(0, until - self.clock_ms) / 1000
        self._lease_timer = loop.call_later(left_s, self._lapse)

    def catch_up(self):
        """End what should have ended by now, should this process be slow."""
        for run in list(self.runs.values()):
            if now_ms() >= run.end_ms:
                self._end(run, run.how)
        if self.clock_ms >= self._lease_until:
            self._lapse()

    def _lapse(self):
        for run in list(self.runs.values()):
            self._end(run, "lapsed")

    def _end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        run.timer.cancel()
        del self.runs[run.task]
        self._ends += 1
        self._finished.append([self._ends, run.task, run.number, how, ""])
        ended = self._ended_runs.get(run.task, 0)
        self._ended_runs[run.task] = max(ended, run.number)
        self._record.note("end", worker=self.name, task=run.task, run=run.number, how=how)
        self._ended.set()
        self._ended = asyncio.Event()

    async def _start(self, fields):
        task, number = fields["task"], fields["run"]
        if fields["deadlineMs"] <= self.clock_ms:
            return self._conflict("late")
        present = self.runs.get(task)
        if present is not None and present.number == number:
            return web.json_response({"clockMs": self.clock_ms})
        self._extend(fields["deadlineMs"])
        if present is not None or number <= self._ended_runs.get(task, 0):
            return self._conflict("old")
        run_ms, cpu = (int(word) for word in fields["spec"].split()[:2])
        loop = asyncio.get_running_loop()
        run = Run(task, number, cpu, run_ms)
        run.timer = loop.call_later(run_ms / 1000, lambda: self._end(run, run.how))
        self.runs[task] = run
        self.starts += 1
        self._record.note(
            "start",
            worker=self.name,
            zone=self.zone,
            task=task,
            run=number,
            used_cpu=self.used_cpu,
            of_cpu=self.cpu,
        )
        if self.on_start is not None:
            self.on_start(self, run)
        return web.json_response({"clockMs": self.clock_ms})

    async def _stop(self, fields):
        task, number = fields["task"], fields["run"]
        run = self.runs.get(task)
        if run is None or run.number != number:
            ended = self._ended_runs.get(task, 0)
            self._ended_runs[task] = max(ended, number)
        elif run.how == "done" and run.end_ms > now_ms() + STOP_MS:
            run.how = "stopped"
            run.end_ms = now_ms() + STOP_MS
            run.timer.cancel()
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(STOP_MS / 1000, lambda: self._end(run, run.how))
        return web.json_response({"clockMs": self.clock_ms})

    async def _hold(self, fields):
        self._extend(fields.get("deadlineMs"))
        cursor = fields["ackCursor"]
        self._finished = [end for end in self._finished if end[0] > cursor]
        if not self._finished and fields.get("waitMs"):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(fields["waitMs"] / 1000):
                    await self._ended.wait()
        running = [[run.task, run.number, "", 100] for run in self.runs.values()]
        return web.json_response(
            {
                "clockMs": self.clock_ms,
                "born": self.born,
                "running": running,
                "finished": self._finished[:500],
            }
        )


class Program:
    """One process of the product."""

    def __init__(self, folder, settings):
        """Write the settings file; `start` starts the process."""
        self.name = settings["name"]
        self.settings = settings
        self._path = folder / f"{self.name}.json5"
        self._log = folder / f"{self.name}.log"
        self._path.write_text(json.dumps(settings), encoding="utf-8")
        self.process = None

    async def start(self):
        """Start the process with the command of the deploy file."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["JUJUBEGLADE_NODE_FILE"] = str(self._path)
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "jujubeglade.platform",
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def has_ended(self):
        """Return whether the process has ended."""
        return self.process.returncode is not None

    def send(self, number):
        """Send a signal, if the process has not ended."""
        if not self.has_ended:
            self.process.send_signal(number)

    async def end(self, number=signal.SIGKILL):
        """End the process and wait for that."""
        if self.process is None:
            return
        self.send(signal.SIGCONT)
        self.send(number)
        await self.process.wait()

    def log(self):
        """Return the log of all lives of this process, as a text."""
        return self._log.read_text(encoding="utf-8", errors="replace")


class Answer:
    """The answer to a client's request; status 0 without one."""

    def __init__(self, status, fields, took_ms):
        """Create an answer."""
        self.status = status
        self.fields = fields
        self.took_ms = took_ms


class Site:
    """A small installation: entries, agents with their workers, a store, clients."""

    def __init__(
        self,
        record,
        entries=2,
        zones=("z-a", "z-b"),
        workers_per_zone=2,
        keeps_channels=False,
    ):
        """Choose addresses; `open` starts everything.

        Clients open a channel for each request, or use open ones again.
        """
        self.record = record
        self._keeps_channels = keeps_channels
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-3-"))
        self.zones = zones
        self._ports = free_ports(8)
        net = f"127.{random.randint(30, 250)}"
        self.store = Store(record)
        self.store_address = (f"{net}.0.1", self._ports[0])
        self.entries = []
        self.agents = []
        self.workers = []
        self._version = 0
        self._session = None
        seeds = [f"{net}.1.{index + 1}" for index in range(min(3, entries))]
        for index in range(entries):
            host = f"{net}.1.{index + 1}"
            own = {
                "clients": f"{host}:{self._ports[1]}",
                "readiness": f"{host}:{self._ports[2]}",
                "remote_penalty": 1.5,
                "inbound": {"memory_mb": 300, "max_descriptors": 4100},
            }
            zone = zones[index % len(zones)]
            fields = self._settings("direct-entry", f"frontend-{index}", host, zone, seeds)
            self.entries.append(Program(self.folder, fields | own))
        for index in range(workers_per_zone * len(zones)):
            host = f"{net}.2.{index + 1}"
            zone = zones[index % len(zones)]
            own = {
                "contact_timeout_ms": CONTACT_TIMEOUT_MS,
                "report_interval_ms": HEARTBEAT_MS,
                "resubmit_ms": RESEND_MS,
                "control": f"{host}:{self._ports[3]}",
                "worker": f"{host}:{self._ports[4]}",
                "inbound": {"memory_mb": 168, "max_descriptors": 4096},
            }
            fields = self._settings("direct-agent", f"side-{index}", host, zone, seeds)
            self.agents.append(Program(self.folder, fields | own))
            self.workers.append(
                Worker(
                    f"i-{index:08x}",
                    zone,
                    (host, self._ports[4]),
                    own["control"],
                    record,
                )
            )

    def _settings(self, role, name, host, zone, seeds):
        """Return settings as the template of the deploy file gives them."""
        return {
            "role": role,
            "name": name,
            "zone": zone,
            "platform": "users",
            "cluster_key": "streams-of-this-installation",
            "log_level": "info",
            "stream": f"{host}:{self._ports[5]}",
            "metrics": f"{host}:{self._ports[6]}",
            "seeds": [f"{seed}:{self._ports[3]}" for seed in seeds],
            "store": {
                "driver": "platform",
                "address": "http://{}:{}".format(*self.store_address),
                "timeout_ms": 1000,
            },
            "hold_ms": HOLD_MAX_MS,
            "grace_ms": 6000,
            "coordinate_from": 6,
        }

    async def open(self, serving=True):
        """Start everything and, if asked, wait until it serves."""
        await self.store.open(*self.store_address)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, force_close=not self._keeps_channels
            )
        )
        self.configure()
        for worker in self.workers:
            await worker.open()
        for program in (*self.entries, *self.agents):
            await program.start()
        if serving:
            await self.wait_serving()

    async def wait_serving(self, timeout_s=45):
        """Wait until every entry completes a job that needs all workers in turn."""
        end_ms = now_ms() + timeout_s * 1000
        for index in range(len(self.entries)):
            while True:
                answer = await self.submit(index, 1, 10, 1000)
                if answer.status == 200:
                    break
                if now_ms() > end_ms:
                    raise RuntimeError("the installation doesn't serve")
                await asyncio.sleep(0.2)
        # The workers' first reports have arrived by then.
        await asyncio.sleep(1.0)

    def configure(self, **changes):
        """Write the next configuration as the operator does."""
        self._version += 3
        route = {
            "name": "r-stock",
            "host": HOST,
            "prefix": PREFIX,
            "kind": "non_idempotent",
            "timeoutMs": 1500,
            "targetLatencyMs": 60,
            "priority": 0,
            "service": SERVICE,
            "maxAttempts": 3,
            "slackFactor": 1.6,
        }
        service = {"name": SERVICE, "healthPath": "/health", "admissionCheck": False}
        fields = {
            "version": self._version,
            "routes": [route | changes],
            "services": [service],
            "limits": {"maxBodyBytes": 262144},
        }
        self.store.operate({"op/config": fields})

    async def submit(self, index, count, run_ms, cpu, job_id=None, **step):
        """Submit a job of one step to an entry as a client does."""
        job_id = job_id or f"{random.getrandbits(64):016x}"
        body = {
            "bestEffort": True,
            "spec": f"{run_ms} {cpu}",
            "steps": [
                {
                    "count": count,
                    "cpu": cpu,
                    "requestedMemoryMb": 64,
                    "estimatedRuntimeMs": run_ms,
                }
                | step
            ],
        }
        return await self.request(index, "POST", PREFIX + job_id, body, job_id)

    async def request(self, index, method, path, body, job_id="", budget_ms=TIME_BUDGET_MS):
        """Send a request and wait for the answer for the time budget."""
        entry = self.entries[index]
        url = f"http://{entry.settings['clients']}{path}"
        headers = {"Host": HOST, "X-Deadline-Ms": str(budget_ms)}
        self.record.note("sent", entry=entry.name, method=method, job=job_id)
        started = now_ms()
        status, fields = 0, {}
        try:
            async with self._session.request(
                method,
                url,
                headers=headers,
                json=body,
                timeout=aiohttp.ClientTimeout(total=budget_ms / 1000),
            ) as answer:
                fields = await answer.json(content_type=None)
                status = answer.status
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            pass
        took_ms = round(now_ms() - started, 1)
        self.record.note(
            "answer", entry=entry.name, method=method, job=job_id, status=status,
            state=fields.get("state", ""), took_ms=took_ms,
        )
        return Answer(status, fields, took_ms)

    async def close(self):
        """End all processes."""
        for program in (*self.entries, *self.agents):
            await program.end()
        for worker in self.workers:
            with contextlib.suppress(Exception):
                await worker.close()
        with contextlib.suppress(Exception):
            await self._session.close()
            await self.store.close()
        self.record.close()


class Balancer:
    """The platform's choice of entries: those that answer its readiness calls."""

    def __init__(self, site):
        """Create a balancer with all entries in rotation; `run` asks them."""
        self._site = site
        self._misses = [0] * len(site.entries)

    def choose(self, home, tried=()):
        """Return the index of the entry for a new channel of a client.

        Args:
          home: The entry that the client's hash selects.
          tried: The entries that the client's job was sent to; retries reach others.
        """
        everyone = range(len(self._misses))
        ready = [index for index in everyone if self._misses[index] < 2] or everyone
        if tried:
            ready = [index for index in ready if index not in tried] or ready
        else:
            # A new channel goes to the client's zone while it has a node.
            zones = [program.settings["zone"] for program in self._site.entries]
            ready = [index for index in ready if zones[index] == zones[home]] or ready
        return home if home in ready else random.choice(list(ready))

    async def run(self):
        """Ask each entry once a second until cancelled."""
        await asyncio.gather(*(self._ask(index) for index in range(len(self._misses))))

    async def _ask(self, index):
        address = self._site.entries[index].settings["readiness"]
        url = f"http://{address}/jujubeglade/readiness"
        timeout = aiohttp.ClientTimeout(total=1.0)
        connector = aiohttp.TCPConnector(force_close=True)
        async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
            while True:
                started = now_ms()
                status = 0
                try:
                    async with session.get(url) as answer:
                        status = answer.status
                except (aiohttp.ClientError, TimeoutError, OSError):
                    pass
                self._misses[index] = 0 if status == 200 else self._misses[index] + 1
                await asyncio.sleep(max(0, 1 - (now_ms() - started) / 1000))


def free_ports(count):
    """Return ports that are free on all loopback addresses now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind(("0.0.0.0", 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


def main(case, folder, limit_s=110):
    """Run a case: a coroutine function of a Record that returns whether it held.

    Exits with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
    """
    record = Record(pathlib.Path(folder) / "record.txt")

    async def run():
        # A case that is told to end still ends the processes that it started.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(limit_s):
            return await case(record)

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    sys.exit(0 if held else 1)
