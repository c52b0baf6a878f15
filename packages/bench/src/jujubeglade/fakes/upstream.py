"""A stand-in upstream that records every start and end of a task.

Checks compare the cluster's answers with these records. The upstream announces itself
to an agent and runs each task by sleeping for the time in its payload:

    {"ms": 200, "value": 7}           runs 200 ms and answers {"value": 7}
    set_faults(fail=True)             answers 500 at once
    set_faults(slow_factor=10)        takes ten times as long
    set_leaving(True)                 leaves its agent; False announces it again

The log has one JSON object a line for each start, with the fields of `Started`. A file
of the same name with the suffix `.ends` has one for each task that it answered.
"""

import argparse
import asyncio
import dataclasses
import json
import pathlib
import re
import time

import aiohttp
from aiohttp import web

_TASK_ID = re.compile(r"(?P<key>[0-9a-f]+-[0-9a-f]+)-(?P<index>\d+)\.(?P<attempt>\d+)")
_DEFAULT_RUN_MS = 50
_LEASE_MS = 3000
_RETRY_INTERVAL_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The record of a start or, with the time of the answer, of an end.

    Attributes:
      wall_ms: An integer, the time of the start or of the answer.
      key: A string, the job key.
      index: An integer, the task's index in its job.
      attempt: An integer.
      zone: A string.
      name: A string, of this upstream.
      tag: A string, the field of this name in the payload.
      start_by_ms: An integer, the wall time after which it must not start.
    """

    wall_ms: int
    key: str
    index: int
    attempt: int
    zone: str
    name: str
    tag: str
    start_by_ms: int = 0


class FakeUpstream:
    """One stand-in upstream."""

    def __init__(self, name, zone, service="parts", slots=8, connections=64):
        """Create an upstream; `start` opens its port.

        Args:
          name: A string.
          zone: A string.
          service: A string, the service it announces.
          slots: An integer, how many tasks run at once.
          connections: An integer, how many connections it accepts.
        """
        self.name = name
        self.zone = zone
        self.service = service
        self.slots = slots
        self.connections = connections
        self.started = []
        # The tasks that were answered after their start, successfully or not.
        self.ended = []
        self.finished = 0
        self.cancelled = 0
        # The ids of the tasks whose run time the agent has asked to double.
        self.throttled = set()
        self.most = 0
        self.refused_over_limit = 0
        # The tasks that arrived after the time in their Start-By-Ms header.
        self.refused_late = 0
        self.fail = False
        self.leaving = False
        self.slow_factor = 1
        self._agent_address = None
        self._log = None
        self._running = {}
        self._lease = None
        self._announce_task = None
        self._session = None
        self._runner = None

    @property
    def address(self):
        """Return the base URL, once started."""
        host, port = self._runner.addresses[0][:2]
        return f"http://{host}:{port}"

    async def start(self, agent_address, port=0, log_path=None):
        """Open the port and announce to an agent, again after each lease expiry.

        Args:
          agent_address: A string, the base URL of the agent's announcements.
          port: An integer; 0 takes any free port.
          log_path: A path for the log of starts, or None.
        """
        if log_path is not None:
            self._log = pathlib.Path(log_path)
        app = web.Application(client_max_size=1 << 24)
        app.router.add_post("/tasks/{id}", self._handle_task)
        app.router.add_delete("/tasks/{id}", self._cancel)
        app.router.add_post("/tasks/{id}/throttle", self._throttle)
        app.router.add_post("/control", self._control)
        app.router.add_get("/control", self._show)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", port).start()
        self._session = aiohttp.ClientSession()
        self._agent_address = agent_address
        self._announce_task = asyncio.create_task(self._announce(agent_address))

    async def leave(self, agent_address):
        """Leave the agent gracefully and stop announcing.

        Args:
          agent_address: A string, the base URL of the agent's announcements.
        """
        self._announce_task.cancel()
        await self._post(agent_address, "/v1/leave", {"lease": self._lease})

    async def set_leaving(self, leaving):
        """Leave the agent gracefully but keep the port open, or announce again.

        Args:
          leaving: A boolean, whether to leave.
        """
        self.leaving = leaving
        if leaving and self._lease is not None:
            lease, self._lease = self._lease, None
            await self._post(self._agent_address, "/v1/leave", {"lease": lease})

    async def close(self):
        """Close the port and stop announcing."""
        if self._announce_task is not None:
            self._announce_task.cancel()
        await self._session.close()
        await self._runner.cleanup()

    def set_faults(self, fail=False, slow_factor=1, most=0):
        """Set the faults.

        Args:
          fail: A boolean, whether every task fails at once.
          slow_factor: A number by which run times are multiplied.
          most: An integer, how many tasks may run before it answers 429; 0 for any.
        """
        self.most = most
        self.fail = fail
        self.slow_factor = slow_factor

    async def _announce(self, agent_address):
        fields = {
            "service": self.service,
            "address": self.address,
            "slots": self.slots,
            "connections": self.connections,
            "lease_ms": _LEASE_MS,
        }
        while True:
            wait_s = _RETRY_INTERVAL_S
            try:
                if self.leaving:
                    answer = {}
                elif self._lease is None:
                    answer = await self._post(agent_address, "/v1/announce", fields)
                else:
                    body = {"lease": self._lease, "running": len(self._running)}
                    answer = await self._post(agent_address, "/v1/renew", body)
                self._lease = answer.get("lease")
                if self._lease is not None:
                    wait_s = _LEASE_MS / 3000
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
                pass
            await asyncio.sleep(wait_s)

    async def _post(self, address, path, fields):
        timeout = aiohttp.ClientTimeout(total=2)
        async with self._session.post(
            address + path, json=fields, timeout=timeout
        ) as reply:
            return await reply.json()

    async def _handle_task(self, request):
        body = await request.read()
        start_by_ms = int(request.headers["Start-By-Ms"])
        wall_ms = time.time_ns() // 1_000_000
        if wall_ms > start_by_ms:
            self.refused_late += 1
            return web.Response(status=412, text="too late to start")
        if self.most and len(self._running) >= self.most:
            self.refused_over_limit += 1
            return web.Response(status=429, headers={"Retry-After": "0"})
        payload = json.loads(body) or {}
        task_id = request.match_info["id"]
        started = self._record_start(task_id, wall_ms, payload, start_by_ms)
        reply = await self._run_payload(task_id, payload)
        self._record_end(started)
        return reply

    async def _run_payload(self, task_id, payload):
        if self.fail:
            return web.Response(status=500, text="this upstream fails every task")
        run_ms = payload.get("ms", _DEFAULT_RUN_MS) * self.slow_factor
        stop = asyncio.get_running_loop().create_future()
        self._running[task_id] = stop
        done, _ = await asyncio.wait((stop,), timeout=run_ms / 1000)
        if task_id in self.throttled and not done:
            done, _ = await asyncio.wait((stop,), timeout=run_ms / 1000)
        self._running.pop(task_id, None)
        if done:
            return web.Response(status=409, text="cancelled")
        self.finished += 1
        return web.json_response({"value": payload.get("value"), "by": self.name})

    async def _cancel(self, request):
        stop = self._running.get(request.match_info["id"])
        if stop is not None and not stop.done():
            self.cancelled += 1
            stop.set_result(None)
        return web.Response(status=204)

    async def _throttle(self, request):
        """Double the run time of a task."""
        self.throttled.add(request.match_info["id"])
        return web.Response(status=204)

    async def _control(self, request):
        faults = await request.json()
        if "leave" in faults:
            await self.set_leaving(faults.pop("leave"))
        if faults:
            self.set_faults(**faults)
        return web.json_response({})

    async def _show(self, request):
        return web.json_response([dataclasses.asdict(start) for start in self.started])

    def _record_start(self, task_id, wall_ms, payload, start_by_ms):
        matched = _TASK_ID.fullmatch(task_id)
        started = Started(
            wall_ms,
            matched["key"],
            int(matched["index"]),
            int(matched["attempt"]),
            self.zone,
            self.name,
            str(payload.get("tag", "")),
            start_by_ms,
        )
        self.started.append(started)
        self._write(self._log, started)
        return started

    def _record_end(self, started):
        ended = dataclasses.replace(started, wall_ms=time.time_ns() // 1_000_000)
        self.ended.append(ended)
        if self._log is not None:
            self._write(self._log.with_suffix(".ends"), ended)

    def _write(self, path, record):
        if path is not None:
            with path.open("a", encoding="utf-8") as log:
                log.write(json.dumps(dataclasses.asdict(record)) + "\n")


async def _serve(arguments):
    upstream = FakeUpstream(
        arguments.name,
        arguments.zone,
        arguments.service,
        arguments.slots,
        arguments.connections,
    )
    await upstream.start(arguments.agent, arguments.port, arguments.log)
    print(f"upstream {arguments.name} at {upstream.address}", flush=True)
    await asyncio.Event().wait()


def main():
    """Run a stand-in upstream as a process of its own."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--agent", required=True, help="base URL of the announcements")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--service", default="parts")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--log", default=None)
    asyncio.run(_serve(parser.parse_args()))


if __name__ == "__main__":
    main()
