"""Measure what audit records cost: bytes and writes for each job and task.

Runs homes, executors and an entry's archive with a clock of its own before a
store in memory, and prints one line for each size of job:

    python -m jujubeglade.bench.records
"""

import asyncio
import random
import secrets
import time

from result import Ok

from jujubeglade.core import clock as clock_
from jujubeglade.core import journal
from jujubeglade.entry import archive

_KEY = b"k" * 32
_AGENTS = 40
_CANDIDATES = 8
_SECONDS = 30
_TURN_MS = 100
_PERMIT_MS = 2500
_TURNS_PER_SECOND = 10
_BATCH_RECORDS = 2000
_BATCH_BYTES = 256_000
# Tasks of a job, jobs started in each second.
_WORKLOADS = ((1, 100), (100, 40), (550, 10))


class CountingStore:
    """A store that keeps nothing but the sizes of what it was given."""

    __slots__ = ("sizes",)

    def __init__(self):
        """Begin empty."""
        self.sizes = []

    async def compare_and_swap(self, key, value, mod_revision, lease_id=0):
        """Count a write.

        Args:
          key: A string, not used.
          value: Bytes.
          mod_revision: An integer, not used.
          lease_id: An integer, not used.

        Returns:
          Ok with a revision.
        """
        del key, mod_revision, lease_id
        self.sizes.append(len(value))
        return Ok(1)


class Site:
    """Agents that run jobs and one entry that gathers their records."""

    __slots__ = (
        "_archive",
        "_clock",
        "_due",
        "_journals",
        "_logs",
        "_sent",
        "packed",
        "store",
    )

    def __init__(self):
        """Open the journals of all processes."""
        self._clock = clock_.ManualClock(1_767_268_800_000)
        self._journals = [self._open(f"agent-{n}") for n in range(_AGENTS)]
        self._logs = [journal.open_attempt_log(j, self._clock) for j in self._journals]
        self.store = CountingStore()
        own = self._open("entry-1")
        self._archive = archive.open_archive(own, self.store, self._clock)
        self._archive.subscribe_stored(self._acknowledge)
        self._due = []
        self._sent = {}
        self.packed = 0

    def _open(self, name):
        """Open the journal of one process."""
        incarnation = secrets.token_hex(8)
        return journal.open_journal(name, incarnation, self._clock, 10**5, _KEY)

    def _acknowledge(self, process, _, sequence):
        """Let a sender forget what is stored."""
        self._journals[int(process.removeprefix("agent-"))].acknowledge(sequence)

    def start_job(self, tasks):
        """Accept a job, start all its tasks and plan its answer."""
        job = f"{self._clock.wall_ms()}-{secrets.token_hex(8)}"
        home, *candidates = random.sample(range(_AGENTS), _CANDIDATES + 1)
        names = [
            f"{self._journals[n].process}/{self._journals[n].incarnation}"
            for n in candidates
        ]
        self._journals[home].record(
            journal.Kind.ACCEPTED,
            job,
            tenant=f"tenant-{random.randrange(20)}",
            tasks=tasks,
            candidates=",".join(names),
            group=len(names) + 1,
            repeatable=journal.pack_indexes(range(tasks)),
        )
        ends = []
        for index in range(tasks):
            place = random.randrange(_CANDIDATES)
            log = self._logs[candidates[place]]
            until_ms = self._clock.wall_ms() + _PERMIT_MS
            permit = {"permit_revision": 7, "permit_until_ms": until_ms}
            log.note(journal.Kind.STARTED, job, index, 1, **permit)
            ends.append(journal.TaskEnd("ran", names[place], 1))
        self._due.append((home, job, ends))

    async def turn(self):
        """Let a tenth of a second pass."""
        self._clock.advance(_TURN_MS)
        for home, job, ends in self._due:
            detail = journal.pack_ends(ends)
            kind = journal.Kind.ANSWERED
            self._journals[home].record(kind, job, state="complete", **detail)
        self._due = []
        for log in self._logs:
            log.flush_due()

    async def second(self):
        """Let every agent send and the archive write."""
        for held in self._journals:
            after = self._sent.get(held.process, 0)
            batch = held.pending(_BATCH_RECORDS, _BATCH_BYTES, after)
            if batch:
                self._sent[held.process] = batch[-1].sequence
                self.packed += len(journal.pack(batch))
                self._archive.offer(batch)
        await self._archive.step()

    async def finish(self):
        """Write what is left."""
        for _ in range(_TURNS_PER_SECOND):
            await self.turn()
        await self.second()
        await self._archive.finish()


async def measure(tasks, jobs_per_second):
    """Run one workload and print what it cost.

    Args:
      tasks: An integer, the tasks of each job.
      jobs_per_second: An integer.
    """
    site = Site()
    began = time.process_time()
    for _ in range(_SECONDS):
        for _turn in range(_TURNS_PER_SECOND):
            for _ in range(jobs_per_second // _TURNS_PER_SECOND):
                site.start_job(tasks)
            await site.turn()
        await site.second()
    await site.finish()
    cpu_us = (time.process_time() - began) * 1_000_000
    jobs = jobs_per_second * _SECONDS
    stored = sum(site.store.sizes)
    print(
        f"{tasks} tasks: sent {site.packed / jobs:.0f} bytes a job,"
        f" stored {stored / jobs:.0f};"
        f" {stored / jobs / tasks:.1f} stored a task; {len(site.store.sizes)} writes in"
        f" {_SECONDS} s, largest {max(site.store.sizes)} bytes;"
        f" {cpu_us / jobs:.0f} us of processor a job, all roles"
    )


def main():
    """Measure every workload."""
    random.seed(1)
    for tasks, jobs_per_second in _WORKLOADS:
        asyncio.run(measure(tasks, jobs_per_second))


if __name__ == "__main__":
    main()
