"""The clients of a run, in a process of their own.

    python -m jujubeglade.bench.client PLAN RESULTS

The plan names the entries, the tokens, the deadline and the arrivals. Clients take
tickets ahead and submit each job when it arrives, without waiting for others. When
the answer is lost or an owner is, they resubmit under the same id until the
deadline; a refusal for overload, quota or deadline they take as it is. Each job
leaves one `JobResult` in the results.
"""

import asyncio
import dataclasses
import json
import pathlib
import sys
import time

import aiohttp

_RESUBMIT_MS = 100
_BLOCK = 500
_LEAD_MS = 500
_REFUSED_STATUS = 429


@dataclasses.dataclass(frozen=True, slots=True)
class JobResult:
    """What became of one job.

    Attributes:
      key: A string, the job key.
      number: An integer, its place among the arrivals.
      at_ms: A number, the wall clock at its submission.
      latency_ms: A number, from the submission to the last answer.
      state: A string: `complete`, `failed`, `refused` or `lost`.
      reason: A string, of a failure or refusal.
      outcomes: A tuple of strings, of each task; of a refusal just one.
      exact: A boolean, whether all results were those of the job's own tasks.
      submissions: An integer, how many requests it took.
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


class Player:
    """Plays one plan."""

    def __init__(self, plan, session):
        """Hold a plan.

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
            # The entries take turns, as behind a balancer.
            url = self._entries[len(tickets) // _BLOCK % len(self._entries)]
            headers = self._headers(next(iter(self._tokens)))
            fields = {"count": min(_BLOCK, count - len(tickets))}
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
            await asyncio.sleep(_RESUBMIT_MS / 1000)
        latency_ms = (time.monotonic() - begin) * 1000
        ended = _ended(number, status, answer)
        key = ticket.split(".")[0]
        return JobResult(key, number, at_ms, latency_ms, *ended, submissions)

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


def write_plan(path, held, arrivals, tokens, deadline_ms):
    """Write a plan for this process.

    Args:
      path: A pathlib.Path.
      held: The Cluster whose entries are asked.
      arrivals: A sequence of load.Arrivals.
      tokens: A mapping from the tenant's name to its token.
      deadline_ms: An integer, of each job.
    """
    plan = {
        "entries": [held.entry_url(name) for name in held.entry_names],
        "tokens": tokens,
        "service": held.shape.service,
        "deadline_ms": deadline_ms,
        "arrivals": [dataclasses.asdict(each) for each in arrivals],
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


def _ended(number, status, answer):
    """Describe the end of a job: state, reason, outcomes, exact."""
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
        endings = await Player(plan, session).play()
    rows = json.dumps([dataclasses.asdict(each) for each in endings])
    pathlib.Path(results_path).write_text(rows, encoding="utf-8")


if __name__ == "__main__":
    asyncio.run(_main(*sys.argv[1:]))
