"""The demo: a whole cluster in one process, with stand-in upstreams and store.

It submits a job of stock checks and a price hold, resubmits it through another entry,
drains and restores an availability zone, cancels a job, asks why, verifies the audit
records, and ends by itself:

    make demo
"""

import asyncio
import time
import uuid

import result

from jujubeglade.bench import loopback
from jujubeglade.core import clock
from jujubeglade.tools import checks, client, report

_WORKERS = 6
_WAIT_MS = 10_000
_STOCK_CHECKS = 9
#: How long the last records may take to reach the store.
_RECORD_DELAY_MS = 3500


class Demo:
    """One run of the demo."""

    def __init__(self, cluster, caller, operator):
        """Prepare a run.

        Args:
          cluster: A Loopback that is ready.
          caller: A Client of a tenant.
          operator: A Client of an operator.
        """
        self._cluster = cluster
        self._caller = caller
        self._operator = operator
        self._failures = 0

    @property
    def failures(self):
        """Return how many checks failed."""
        return self._failures

    async def run(self):
        """Run all steps."""
        job = await self._submit()
        await self._resubmit(job)
        await self._drain()
        cancelled = await self._cancel()
        await self._ask(job["id"], cancelled)
        await self._verify()

    async def _submit(self):
        _title("A fitter asks for stock and a price hold")
        job = await self._new_job(_stock_checks(_STOCK_CHECKS) + [_price_hold()])
        answer = await self._caller.submit(job, _WAIT_MS)
        self._show_answer(answer, "complete")
        return job

    async def _resubmit(self, job):
        _title("The phone loses the answer and submits again at another entry")
        before = self._starts()
        urls = self._cluster.entry_urls
        token = loopback.CALLER_TOKENS["workshop"]
        async with client.open_client([urls[-1]], token) as second:
            self._show_answer(await second.submit(job, _WAIT_MS), "complete")
        self._expect("starts caused by the resubmission", self._starts() - before, 0)

    async def _drain(self):
        _title("Operators drain the availability zone north, then restore it")
        await self._command("drain zone north", "in_force")
        before = self._starts("north")
        job = await self._new_job(_stock_checks(_STOCK_CHECKS))
        self._show_answer(await self._caller.submit(job, _WAIT_MS), "complete")
        self._expect("starts in the drained zone", self._starts("north") - before, 0)
        await self._command("show zones")
        await self._command("restore zone north", "in_force")

    async def _cancel(self):
        _title("A client cancels a long job")
        job = await self._new_job([_task("compatibility", 5000, True)])
        await self._caller.submit(job)
        self._show_answer(await self._caller.cancel(job["id"]), "failed")
        return job["id"]

    async def _ask(self, first, cancelled):
        _title("Operators ask what happened and why")
        await asyncio.sleep(clock.seconds(_RECORD_DELAY_MS))
        await self._command(f"why job {_key(first)}")
        await self._command(f"why job {_key(cancelled)}")
        await self._command("show workers")

    async def _verify(self):
        _title("The audit records are verified")
        key = loopback.CLUSTER_KEY.encode("utf-8")
        status = await checks.verify_audit(
            self._operator, report.Report(as_json=False), key
        )
        self._expect("exit status of audit verify", int(status), 0)

    async def _new_job(self, tasks):
        (ticket,) = (await self._caller.tickets()).unwrap()
        return {"id": ticket, "class": "urgent", "deadline_ms": 15_000, "tasks": tasks}

    async def _command(self, text, expected=None):
        print(f"> {text}")
        outcome = await self._operator.command(_command_id(), text)
        match outcome:
            case result.Ok(answer):
                print(f"  {answer.status}, revision {answer.revision}")
                for line in answer.lines:
                    print(f"  {line}")
            case result.Err(problem):
                print(f"  {problem}")
        if expected is not None:
            status = outcome.ok_value.status if outcome.is_ok() else "refused"
            self._expect("status", status, expected)

    def _show_answer(self, result_, expected):
        if result_.is_err():
            print(f"  {result_.err_value}")
            self._expect("state", "refused", expected)
            return
        answer = result_.ok_value
        print(f"  {answer.id[:30]}...: {answer.state} {answer.reason}")
        outcomes = [task.outcome for task in answer.tasks]
        for outcome in sorted(set(outcomes)):
            print(f"  {outcomes.count(outcome)} tasks {outcome}")
        self._expect("state", answer.state, expected)

    def _expect(self, name, value, expected):
        if value == expected:
            print(f"  {name}: {value}, as expected")
            return
        self._failures += 1
        print(f"  {name}: {value}, EXPECTED {expected}")

    def _starts(self, zone=None):
        return sum(
            len(fake.started)
            for fake in self._cluster.upstreams
            if zone is None or fake.zone == zone
        )


def run():
    """Run the demo.

    Returns:
      An integer, the exit status: 0 when every check passed.
    """
    return asyncio.run(_run())


async def _run():
    began = time.monotonic()
    async with (
        loopback.start(_WORKERS) as cluster,
        client.open_client(cluster.entry_urls, _caller_token()) as caller,
        client.open_client(cluster.entry_urls, _operator_token()) as operator,
    ):
        demo = Demo(cluster, caller, operator)
        await demo.run()
    seconds = time.monotonic() - began
    print(f"\nThe demo ended after {seconds:.1f} s, {demo.failures} checks failed.")
    return 1 if demo.failures else 0


def _caller_token():
    return loopback.CALLER_TOKENS["workshop"]


def _operator_token():
    return loopback.OPERATOR_TOKENS["duty"]


def _command_id():
    """Make a command id that begins with the time, by which records are looked up."""
    return f"{clock.system_clock().wall_ms():x}-{uuid.uuid4().hex[:10]}"


def _key(ticket):
    return ticket.split(".")[0]


def _task(name, run_ms, repeatable):
    payload = {"ms": run_ms, "value": name, "tag": name}
    return {
        "service": "parts",
        "payload": payload,
        "repeatable": repeatable,
        "run_ms": run_ms,
    }


def _stock_checks(count):
    return [_task(f"stock-{number}", 120, True) for number in range(count)]


def _price_hold():
    return _task("hold-drive-motor", 200, False)


def _title(text):
    print(f"\n== {text}")
