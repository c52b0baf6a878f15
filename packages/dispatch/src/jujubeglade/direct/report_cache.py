"""Recall: what the store keeps of the worker beside an agent.

A worker reports about itself now and then only. An agent that restarts would wait for
the next report before it knows what its worker is called and what it holds; after a
restart of everything that is most of the time in which nobody is served. So each agent
keeps a copy of the last report in the store. A copy says where to ask, no more: the
worker itself has to answer, in the same life, before anything is started, and a copy
that no report confirms soon is not relied on.
"""

import asyncio

from jujubeglade.core import clock, log, message
from jujubeglade.direct import job, worker

PREFIX = "jujubeglade/workers/"
#: Below the number of every report of a worker.
STORED_SEQUENCE = -1
#: How often the copy is compared with what the agent knows.
_CHECK_MS = 500
#: A store that has not answered for so long will not shorten the wait for a report.
_READ_MS = 1000

_log = log.get(__name__)


@message.register(94)
class Copy:
    """A worker's report, as the store keeps it.

    Attributes:
      name: A string, the worker's own id.
      started_ms: An integer, when it started.
      service: A string.
      labels: A tuple of strings.
      total: A Resources.
    """

    name: str
    started_ms: int
    service: str
    labels: tuple
    total: job.Resources


def pack(report):
    """Encode the copy of a report; nothing is kept of a worker that leaves.

    Args:
      report: A Report, or None.

    Returns:
      Bytes.
    """
    if report is None or report.draining:
        return b""
    name, started_ms = report.instance.name, report.instance.started_ms
    copy = Copy(name, started_ms, report.service, report.labels, report.total)
    return message.encode(copy)


def unpack(data):
    """Decode a copy.

    Args:
      data: Bytes, which may come from another writer.

    Returns:
      A Report that precedes all of that worker's life, or None.
    """
    if not data:
        return None
    decoded = message.decode(data)
    if decoded.is_err() or not isinstance(decoded.ok_value, Copy):
        _log.warning("copy of a worker unreadable", bytes=len(data))
        return None
    copy = decoded.ok_value
    instance = worker.Instance(copy.name, copy.started_ms)
    return worker.Report(
        instance, STORED_SEQUENCE, copy.service, copy.labels, copy.total, False
    )


class ReportCache:
    """The copy of one agent's worker."""

    __slots__ = ("_key", "_runner", "_store", "_stored")

    def __init__(self, held, name, runner):
        """Prepare; nothing runs yet.

        Args:
          held: A Store.
          name: A string, the agent's name.
          runner: A Runner, which gives and takes reports.
        """
        self._store = held
        self._key = PREFIX + name
        self._runner = runner
        # What the store holds, as far as this agent knows.
        self._stored = None

    async def run(self):
        """Hand the copy to the runner, then keep it up to date until cancelled."""
        await self._read()
        while True:
            await asyncio.sleep(clock.seconds(_CHECK_MS))
            wanted = pack(self._runner.report)
            if wanted != self._stored:
                await self._write(wanted)

    async def _read(self):
        try:
            async with asyncio.timeout(clock.seconds(_READ_MS)):
                found = await self._store.get(self._key)
        except TimeoutError:
            return
        if found.is_err():
            _log.warning("worker not recalled", cause=found.err_value)
            return
        self._stored = found.ok_value.value
        report = unpack(self._stored)
        if report is not None and self._runner.report is None:
            _log.info("worker recalled", worker=report.instance.name)
            self._runner.on_report(report)

    async def _write(self, wanted):
        """Write the copy; a write that fails is tried again at the next check."""
        found = await self._store.get(self._key)
        if found.is_err():
            return
        self._stored = found.ok_value.value
        if self._stored == wanted:
            return
        revision = found.ok_value.mod_revision
        written = await self._store.compare_and_swap(self._key, wanted, revision)
        if written.is_ok():
            self._stored = wanted
        else:
            _log.info("copy of the worker not written", cause=written.err_value)
