"""The clients of a run, in a process of their own.

    python -m jujubeglade.bench.client PLAN RESULTS

The plan contains the entries, the tokens, the deadline and the arrivals. Clients take
all tickets in advance and submit each job when it arrives, without waiting for others.
If the answer or the owner is lost, they resubmit under the same id until the deadline;
after a refusal for overload, quota or deadline they don't. Each job gives one
`JobResult`.
"""

import asyncio
import dataclasses
import json
import pathlib
import sys
import time

import aiohttp

_RESUBMIT_INTERVAL_MS = 100
_TICKETS_PER_REQUEST = 500
#: Time between the announcement of the begin and the first arrivals.
_LEAD_MS = 500
_REFUSED_STATUS = 429


@dataclasses.dataclass(frozen=True, slots=True)
class JobResult:
    """The result of one job.

    Attributes:
      key: A string, the job key.
      number: An integer, its index among the arrivals.
      at_ms: A number, the wall clock at its first submission.
      latency_ms: A number, from the first submission to the last answer.
      state: A string: `complete`, `failed`, `refused` or `lost`.
      reason: A string, of a failure or refusal.
      outcomes: A tuple of strings, one for each task; for a refusal only one.
      exact: A boolean, whether every task of a complete job has its own result.
      submissions: An integer, how often it was submitted.
    """

    key: str
    number: int
    at_ms: float
    latency_ms: float
    state: str
    reason: str
    outcomes: tuple[str, ...]
    exact: bool
    submissions: int


class PlanRunner:
    """Runs one plan."""

    def __init__(self, plan, session):
        """Prepare a run.

        Args:
          plan: A dict, as `write_plan` makes it.
          session: An aiohttp.ClientSession.
        """
        self._plan = plan
        self._session = session
        self._entries = plan["entries"]
        self._tokens = plan["tokens"]

    async def play(self):
        """Submit every arrival at its time.

        Returns:
          A list of JobResults.
        """
        arrivals = self._plan["arrivals"]
        tickets = await self._take_tickets(len(arrivals))
        begin = time.monotonic() + _LEAD_MS / 1000
        print(json.dumps({"begin_ms": time.time() * 1000 + _LEAD_MS}), flush=True)
        jobs = []
        for number, arrival in enumerate(arrivals):
            await asyncio.sleep(begin + arrival["at_ms"] / 1000 - time.monotonic())
            ticket = tickets[number]
            jobs.append(asyncio.create_task(self._run(number, arrival, ticket)))
        return await asyncio.gather(*jobs)

    async def _take_tickets(self, count):
        tickets = []
        while len(tickets) < count:
            # Requests go to the entries in turn, as from a load balancer.
            url = self._entries[
                len(tickets) // _TICKETS_PER_REQUEST % len(self._entries)
            ]
            headers = self._headers(next(iter(self._tokens)))
            fields = {"count": min(_TICKETS_PER_REQUEST, count - len(tickets))}
            async with self._session.post(
                url + "/v1/tickets", json=fields, headers=headers
            ) as reply:
                tickets.extend((await reply.json())["tickets"])
        return tickets

    async def _run(self, number, arrival, ticket):
        body = self._body(number, arrival, ticket)
        at_ms = time.time() * 1000
        begin = time.monotonic()
        end = begin + self._plan["deadline_ms"] / 1000
        headers = self._headers(arrival["tenant"])
        submissions = 0
        while True:
            url = self._entries[(number + submissions) % len(self._entries)]
            submissions += 1
            status, answer = await self._post(url + "/v1/jobs", body, headers)
            if answer.get("state") in ("complete", "failed"):
                break
            if status == _REFUSED_STATUS or time.monotonic() > end:
                break
            await asyncio.sleep(_RESUBMIT_INTERVAL_MS / 1000)
        latency_ms = (time.monotonic() - begin) * 1000
        fields = _result_fields(number, status, answer)
        key = ticket.split(".")[0]
        return JobResult(key, number, at_ms, latency_ms, *fields, submissions)

    async def _post(self, url, body, headers):
        try:
            async with self._session.post(url, data=body, headers=headers) as reply:
                return reply.status, await reply.json()
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return 0, {"kind": repr(error)}

    def _body(self, number, arrival, ticket):
        pairs = zip(arrival["run_ms"], arrival["declared_ms"], strict=True)
        tasks = [
            {
                "service": self._plan["service"],
                "payload": {"ms": run_ms, "value": f"{number}-{index}"},
                "repeatable": arrival["repeatable"],
                "run_ms": declared_ms,
            }
            for index, (run_ms, declared_ms) in enumerate(pairs)
        ]
        deadline_ms = self._plan["deadline_ms"]
        fields = {
            "id": ticket,
            "class": arrival["urgency"],
            "deadline_ms": deadline_ms,
            "wait_ms": min(deadline_ms, 30_000),
            "tasks": tasks,
        }
        return json.dumps(fields).encode()

    def _headers(self, tenant):
        return {"Authorization": f"Bearer {self._tokens[tenant]}"}


def write_plan(path, cluster, arrivals, tokens, deadline_ms):
    """Write the plan of a run for the client process.

    Args:
      path: A pathlib.Path.
      cluster: The Cluster whose entries get the jobs.
      arrivals: A sequence of load.Arrivals.
      tokens: A mapping from the tenant's name to its token.
      deadline_ms: An integer, of each job.
    """
    plan = {
        "entries": [cluster.entry_url(name) for name in cluster.entry_names],
        "tokens": tokens,
        "service": cluster.shape.service,
        "deadline_ms": deadline_ms,
        "arrivals": [dataclasses.asdict(arrival) for arrival in arrivals],
    }
    path.write_text(json.dumps(plan), encoding="utf-8")


def read_results(path):
    """Read the results of a run.

    Args:
      path: A pathlib.Path.

    Returns:
      A list of JobResults.
    """
    rows = json.loads(path.read_text(encoding="utf-8"))
    return [JobResult(**row) for row in rows]


def _result_fields(number, status, answer):
    """Return the state, reason, outcomes and exactness of a job's last answer."""
    if answer.get("state") in ("complete", "failed"):
        tasks = answer["tasks"]
        outcomes = tuple(task["outcome"] for task in tasks)
        exact = answer["state"] == "failed" or all(
            task.get("result", {}).get("value") == f"{number}-{index}"
            for index, task in enumerate(tasks)
        )
        return answer["state"], answer.get("reason", ""), outcomes, exact
    state = "refused" if status == _REFUSED_STATUS else "lost"
    return state, str(answer.get("kind", "")), (answer.get("outcome", ""),), True


async def _main(plan_path, results_path):
    plan = json.loads(pathlib.Path(plan_path).read_text(encoding="utf-8"))
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=plan["deadline_ms"] / 1000 + 10)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        results = await PlanRunner(plan, session).play()
    rows = json.dumps([dataclasses.asdict(result) for result in results])
    pathlib.Path(results_path).write_text(rows, encoding="utf-8")


if __name__ == "__main__":
    asyncio.run(_main(*sys.argv[1:]))
