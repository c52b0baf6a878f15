"""Report cache: a copy of the worker's last report in the store.

A worker reports only at long intervals. A restarted agent would have to wait for the
next report to obtain the name and the resources of its worker; after a restart of all
processes that wait would be most of the outage. So each agent keeps a copy of the last
report in the store. The copy only identifies the worker: the worker must answer, in the
same incarnation, before anything starts, and a copy that no report confirms soon is not
relied on.
"""

import asyncio

from jujubeglade.core import clock, log, message
from jujubeglade.direct import job, worker

PREFIX = "jujubeglade/workers/"
#: The sequence of a report from the store, below that of every report of a worker.
STORED_SEQUENCE = -1
#: The interval at which the copy is compared with the latest report.
_CHECK_INTERVAL_MS = 500
#: The timeout of the read; a copy that arrives later saves no time over a report.
_READ_TIMEOUT_MS = 1000

_log = log.get(__name__)


@message.register(94)
class Copy:
    """A worker's report as stored.

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
    """Encode the copy of a report; empty without one or for a draining worker.

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
      A Report that precedes all reports of that incarnation of the worker, or None.
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
    """The stored report of one agent's worker."""

    __slots__ = ("_key", "_runner", "_store", "_stored")

    def __init__(self, store, name, runner):
        """Prepare the cache; nothing runs yet.

        Args:
          store: A Store.
          name: A string, the agent's name.
          runner: A Runner, which has the latest report and handles the stored one.
        """
        self._store = store
        self._key = PREFIX + name
        self._runner = runner
        # The value in the store as last read or written; None before.
        self._stored = None

    async def run(self):
        """Pass the copy to the runner, then keep it up to date until cancelled."""
        await self._read()
        while True:
            await asyncio.sleep(clock.seconds(_CHECK_INTERVAL_MS))
            latest = pack(self._runner.report)
            if latest != self._stored:
                await self._write(latest)

    async def _read(self):
        try:
            async with asyncio.timeout(clock.seconds(_READ_TIMEOUT_MS)):
                read = await self._store.get(self._key)
        except TimeoutError:
            return
        if read.is_err():
            _log.warning("worker not recalled", cause=read.err_value)
            return
        self._stored = read.ok_value.value
        report = unpack(self._stored)
        if report is not None and self._runner.report is None:
            _log.info("worker recalled", worker=report.instance.name)
            self._runner.on_report(report)

    async def _write(self, latest):
        """Write the copy; a failed write is retried at the next check."""
        read = await self._store.get(self._key)
        if read.is_err():
            return
        self._stored = read.ok_value.value
        if self._stored == latest:
            return
        revision = read.ok_value.mod_revision
        written = await self._store.compare_and_swap(self._key, latest, revision)
        if written.is_ok():
            self._stored = latest
        else:
            _log.info("copy of the worker not written", cause=written.err_value)
