"""Measures the cost of audit records: bytes and writes for each job and task.

Runs the journals of homes and executors and an entry's archive with a manual clock and
a store in memory, and prints one line for each size of job:

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
_STEP_MS = 100
_PERMIT_MS = 2500
_STEPS_PER_SECOND = 10
_MAX_BATCH_RECORDS = 2000
_MAX_BATCH_BYTES = 256_000
#: Pairs of the tasks of a job and the jobs started in each second.
_WORKLOADS = ((1, 100), (100, 40), (550, 10))


class CountingStore:
    """A store that keeps only the sizes of the values written."""

    __slots__ = ("sizes",)

    def __init__(self):
        """Create an empty store."""
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
    """Agents that record jobs, and one entry that collects their records."""

    __slots__ = (
        "_archive",
        "_clock",
        "_unanswered",
        "_journals",
        "_logs",
        "_sent_sequences",
        "packed_bytes",
        "store",
    )

    def __init__(self):
        """Open the journals of all processes."""
        self._clock = clock_.ManualClock(1_767_268_800_000)
        self._journals = [self._open(f"agent-{n}") for n in range(_AGENTS)]
        self._logs = [journal.open_attempt_log(j, self._clock) for j in self._journals]
        self.store = CountingStore()
        entry_journal = self._open("entry-1")
        self._archive = archive.open_archive(entry_journal, self.store, self._clock)
        self._archive.subscribe_stored(self._acknowledge)
        self._unanswered = []
        self._sent_sequences = {}
        self.packed_bytes = 0

    def _open(self, name):
        """Open the journal of one process."""
        incarnation = secrets.token_hex(8)
        return journal.open_journal(name, incarnation, self._clock, 10**5, _KEY)

    def _acknowledge(self, process, _, sequence):
        """Let an agent drop the records that are stored."""
        self._journals[int(process.removeprefix("agent-"))].acknowledge(sequence)

    def start_job(self, tasks):
        """Accept a job and start all its tasks; `step` answers it."""
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
            position = random.randrange(_CANDIDATES)
            log = self._logs[candidates[position]]
            until_ms = self._clock.wall_ms() + _PERMIT_MS
            permit = {"permit_revision": 7, "permit_until_ms": until_ms}
            log.add(journal.Kind.STARTED, job, index, 1, **permit)
            ends.append(journal.TaskEnd("ran", names[position], 1))
        self._unanswered.append((home, job, ends))

    async def step(self):
        """Advance the clock by a tenth of a second and answer the started jobs."""
        self._clock.advance(_STEP_MS)
        for home, job, ends in self._unanswered:
            detail = journal.pack_ends(ends)
            kind = journal.Kind.ANSWERED
            self._journals[home].record(kind, job, state="complete", **detail)
        self._unanswered = []
        for log in self._logs:
            log.flush_due()

    async def send_records(self):
        """Send every agent's new records and let the archive write."""
        for journal_ in self._journals:
            after = self._sent_sequences.get(journal_.process, 0)
            batch = journal_.pending(_MAX_BATCH_RECORDS, _MAX_BATCH_BYTES, after)
            if batch:
                self._sent_sequences[journal_.process] = batch[-1].sequence
                self.packed_bytes += len(journal.pack(batch))
                self._archive.offer(batch)
        await self._archive.step()

    async def finish(self):
        """Write the remaining records."""
        for _ in range(_STEPS_PER_SECOND):
            await self.step()
        await self.send_records()
        await self._archive.finish()


async def measure(tasks, jobs_per_second):
    """Run one workload and print its cost.

    Args:
      tasks: An integer, the number of tasks of each job.
      jobs_per_second: An integer.
    """
    site = Site()
    began = time.process_time()
    for _ in range(_SECONDS):
        for _step in range(_STEPS_PER_SECOND):
            for _ in range(jobs_per_second // _STEPS_PER_SECOND):
                site.start_job(tasks)
            await site.step()
        await site.send_records()
    await site.finish()
    cpu_us = (time.process_time() - began) * 1_000_000
    jobs = jobs_per_second * _SECONDS
    stored = sum(site.store.sizes)
    print(
        f"{tasks} tasks: sent {site.packed_bytes / jobs:.0f} bytes a job,"
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
