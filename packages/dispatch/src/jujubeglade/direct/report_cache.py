"""Report cache: a copy of the worker's last report in the store.

A worker reports only at long intervals. A restarted agent would have to wait for the
next report to obtain the name and the resources of its worker; after a restart of all
processes that wait would be most of the outage. So each agent keeps a copy of the last
report in the store. The copy only identifies the worker: the worker must answer, in the
same incarnation, before anything starts, and a copy that no report confirms soon is not
relied on. It is written again with each report: the worker's clock in it tells how old
it is (`report_age`).

The copy also has the agent's fencing token. The next incarnation of the agent chooses a
higher one even if the wall clock has been set back meanwhile. It also has the last
crashes of the worker, which the entries must still know after all have restarted.
"""

import asyncio

from jujubeglade.core import clock, fields, log, message
from jujubeglade.direct import contract, job, worker

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
      name: A string, the worker's own id; empty without a worker to ask.
      started_ms: An integer, when it started.
      service: A string.
      labels: A tuple of strings.
      total: A Resources.
      token: An integer, the `token_floor` of the agent's Runner.
      clock_ms: A number, the worker's clock at the report; 0 if it isn't known.
      crashes: A tuple of Crashes, the last ones of the worker.
    """

    name: fields.OptionalName
    started_ms: int
    service: str
    labels: tuple[str, ...]
    total: job.Capacity
    token: fields.Count = 0
    clock_ms: fields.Amount = 0
    crashes: tuple[contract.Crash, ...] = ()

    def report(self):
        """Return the Report, older than all of the worker; None without a worker."""
        if not self.name:
            return None
        instance = worker.Instance(self.name, self.started_ms)
        return worker.Report(
            instance,
            STORED_SEQUENCE,
            self.service,
            self.labels,
            self.total,
            False,
            self.clock_ms,
        )


def pack(report, token, crashes=()):
    """Encode the copy of a report; without a worker if it is None or is draining.

    Args:
      report: A Report, or None.
      token: An integer, the `token_floor` of the agent's Runner.
      crashes: A tuple of Crashes.

    Returns:
      Bytes.
    """
    # A copy that this agent has accepted and written again must stay readable.
    token = min(token, fields.MAX_WHOLE)
    if report is None or report.draining:
        nothing = Copy("", 0, "", (), job.NOTHING, token, crashes=crashes)
        return message.encode(nothing)
    return message.encode(
        Copy(
            report.instance.name,
            report.instance.started_ms,
            report.service,
            report.labels,
            report.total,
            token,
            report.clock_ms,
            crashes,
        )
    )


def unpack(data):
    """Decode a copy.

    Args:
      data: Bytes, which may come from another writer.

    Returns:
      A Copy, or None.
    """
    if not data:
        return None
    decoded = message.decode(data)
    if decoded.is_err():
        cause = decoded.err_value.message
    elif isinstance(decoded.ok_value, Copy):
        return decoded.ok_value
    else:
        cause = f"it is a {type(decoded.ok_value).__name__}"
    _log.warning("copy of a worker unreadable", bytes=len(data), cause=cause)
    return None


class ReportCache:
    """The stored report of one agent's worker."""

    __slots__ = ("_key", "_revision", "_runner", "_store", "_stored")

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
        # The value in the store as last read or written, and its revision; None before
        # the first read, and when a write has failed.
        self._stored = None
        self._revision = None

    async def run(self):
        """Pass the copy to the runner, then keep it up to date until cancelled."""
        await self._read()
        while True:
            await asyncio.sleep(clock.seconds(_CHECK_INTERVAL_MS))
            latest = pack(
                self._runner.report,
                self._runner.token_floor,
                self._runner.crash_watch.recent,
            )
            if latest != self._stored:
                await self._write(latest)

    async def _read(self):
        try:
            async with asyncio.timeout(clock.seconds(_READ_TIMEOUT_MS)):
                problem = await self._fetch()
        except TimeoutError:
            return
        if problem is not None:
            _log.warning("worker not recalled", cause=problem)
            return
        copy = unpack(self._stored)
        if copy is None:
            return
        self._runner.succeed_token(copy.token)
        if copy.crashes:
            self._runner.crash_watch.recall(copy.crashes)
        report = copy.report()
        if report is not None and self._runner.report is None:
            _log.info("worker recalled", worker=report.instance.name)
            self._runner.on_report(report)

    async def _write(self, latest):
        """Write the copy; a failed write is retried at the next check."""
        if self._revision is None:
            await self._fetch()
        if self._revision is None or self._stored == latest:
            return
        written = await self._store.compare_and_swap(self._key, latest, self._revision)
        if written.is_ok():
            self._stored = latest
            self._revision = written.ok_value
        else:
            self._revision = None
            _log.info("copy of the worker not written", cause=written.err_value)

    async def _fetch(self):
        """Read the copy; return a Problem, or None."""
        read = await self._store.get(self._key)
        if read.is_err():
            return read.err_value
        self._stored = read.ok_value.value
        self._revision = read.ok_value.mod_revision
        return None
