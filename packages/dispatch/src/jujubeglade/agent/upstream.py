"""Upstreams: the services beside an agent that execute tasks.

An upstream announces itself to its agent under a lease, renews the lease, and leaves.
The agent starts tasks on it over HTTP; docs/DESIGN.md, "Interfaces", describes the
requests. Each start carries the time until which it may begin (`Start-By-Ms`), by the
wall clock of the machine on which both run, so that the upstream refuses a start that
is delayed past its permit.

| answer                  | verdict                    |
|-------------------------|----------------------------|
| 200                     | succeeded                  |
| 412                     | never started: too late    |
| 429                     | never started: throttled   |
| no connection           | never started: unreachable |
| another status          | failed                     |
| a connection that broke | unknown                    |
"""

import contextlib
import dataclasses

import aiohttp
import result

from jujubeglade.agent import concurrency
from jujubeglade.core import clock, contract, problem
from jujubeglade.core import fields as fields_

CONNECT_TIMEOUT_MS = 1000
REQUEST_TIMEOUT_MS = 1000
START_BY_HEADER = "Start-By-Ms"
DEADLINE_HEADER = "Deadline-Ms"
_STATUS_OK = 200
_STATUS_TOO_LATE = 412
_STATUS_THROTTLED = 429
_MAX_ERROR_CHARACTERS = 500

#: Of the seconds in a Retry-After: a day has five.
_MAX_RETRY_DIGITS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """The announcement of an upstream.

    Attributes:
      service: A string, the service that its tasks name.
      address: A string, the base URL of its HTTP interface.
      slots: An integer, how many tasks it runs at once.
      connections: An integer, how many connections it accepts.
      lease_ms: An integer, how long the announcement lasts unless renewed.
    """

    service: str
    address: str
    slots: int
    connections: int
    lease_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """The result of a call to an upstream.

    Attributes:
      verdict: A Verdict, or None when the attempt never started.
      body: Bytes, the result, or the error as UTF-8 text.
      reject_reason: A RejectReason, or None when the attempt started.
      retry_after_ms: An integer, when to try again after a throttle.
    """

    verdict: contract.Verdict | None
    body: bytes
    reject_reason: contract.RejectReason | None = None
    retry_after_ms: int = 0


class Upstream:
    """One announced upstream and the calls to it."""

    __slots__ = (
        "_expires_ms",
        "_max_result_bytes",
        "_session",
        "_unaccounted",
        "announcement",
        "concurrency",
        "lease",
        "leaving",
        "running",
    )

    def __init__(self, lease, announcement, expires_ms, session, max_result_bytes):
        """Create an upstream.

        Args:
          lease: A string, the name of the lease.
          announcement: An Announcement.
          expires_ms: A number, the monotonic time at which the lease ends.
          session: An aiohttp.ClientSession for its calls.
          max_result_bytes: A function that returns the size of the largest result
            that is read.
        """
        self.lease = lease
        self.announcement = announcement
        # The executor replaces it according to the rule in force.
        self.concurrency = concurrency.open_concurrency(announcement.slots)
        self.leaving = False
        self.running = 0
        self._expires_ms = expires_ms
        self._session = session
        # The tasks beyond the agent's own count, in each of the last two reports.
        self._unaccounted = (0, 0)
        self._max_result_bytes = max_result_bytes

    @property
    def has_free_slot(self):
        """Return whether another task may start here."""
        # A report may be out of date, so the smaller excess of the last two is used.
        occupied = self.running + min(self._unaccounted)
        return not self.leaving and occupied < self.concurrency.limit

    def is_live(self, now_ms):
        """Return whether the lease is still valid.

        Args:
          now_ms: A number, the monotonic time.
        """
        return now_ms < self._expires_ms

    def renew(self, now_ms, running):
        """Extend the lease by its length.

        Tasks beyond the agent's own count were started by an earlier incarnation of
        the agent or by an unknown client; they occupy slots all the same.

        Args:
          now_ms: A number, the monotonic time.
          running: An integer, the number of running tasks that the upstream reports.
        """
        self._expires_ms = now_ms + self.announcement.lease_ms
        excess = max(0, running - self.running)
        self._unaccounted = (self._unaccounted[1], excess)

    async def call(self, task_id, payload, start_by_ms, deadline_ms):
        """Run one attempt.

        Args:
          task_id: A TaskId.
          payload: Bytes, a JSON text.
          start_by_ms: An integer, the wall time after which it may not start.
          deadline_ms: An integer, the wall time after which its result is not
            needed.

        Returns:
          A CallResult.
        """
        headers = {
            START_BY_HEADER: str(start_by_ms),
            DEADLINE_HEADER: str(deadline_ms),
            "Content-Type": "application/json",
        }
        url = self._url(task_id)
        try:
            async with self._session.post(url, data=payload, headers=headers) as reply:
                body = await self._read(reply)
                return (
                    _result_too_long(reply)
                    if body is None
                    else _outcome_of(reply, body)
                )
        except aiohttp.ClientConnectorError as error:
            return _never_started(
                contract.RejectReason.UNREACHABLE, str(error).encode()
            )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            text = f"the connection to the upstream broke: {error!r}"
            return CallResult(contract.Verdict.UNKNOWN, text.encode())

    async def cancel(self, task_id):
        """Ask the upstream to stop an attempt.

        Args:
          task_id: A TaskId.
        """
        await self._send_request("DELETE", self._url(task_id))

    async def throttle(self, task_id):
        """Ask the upstream to run an attempt with fewer resources.

        Args:
          task_id: A TaskId.
        """
        await self._send_request("POST", f"{self._url(task_id)}/throttle")

    async def close(self):
        """Close the connections to this upstream."""
        await self._session.close()

    async def _read(self, reply):
        """Read a body; close the connection and return None if it is too long."""
        max_bytes = self._max_result_bytes()
        chunks = []
        size = 0
        async for chunk in reply.content.iter_any():
            size += len(chunk)
            if size > max_bytes:
                reply.close()
                return None
            chunks.append(chunk)
        return b"".join(chunks)

    async def _send_request(self, method, url):
        timeout = aiohttp.ClientTimeout(total=clock.seconds(REQUEST_TIMEOUT_MS))
        # The attempt goes on if the request fails, and its result arrives as usual.
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with self._session.request(method, url, timeout=timeout):
                pass

    def _url(self, task_id):
        return f"{self.announcement.address}/tasks/{task_id}"


def open_upstream(lease, announcement, now_ms, max_result_bytes):
    """Create the upstream of a new announcement.

    Args:
      lease: A string, the name of the lease.
      announcement: An Announcement.
      now_ms: A number, the monotonic time.
      max_result_bytes: A function that returns the size of the largest result that
        is read; it is called for each result, as operators may change the limit.

    Returns:
      An Upstream.
    """
    connector = aiohttp.TCPConnector(limit=announcement.connections)
    timeout = aiohttp.ClientTimeout(
        total=None, sock_connect=clock.seconds(CONNECT_TIMEOUT_MS)
    )
    session = aiohttp.ClientSession(connector=connector, timeout=timeout)
    expires_ms = now_ms + announcement.lease_ms
    return Upstream(lease, announcement, expires_ms, session, max_result_bytes)


def parse_announcement(fields):
    """Check an announcement.

    Args:
      fields: A value decoded from JSON.

    Returns:
      A Result of an Announcement, or of a Problem that names the field.
    """
    expected_types = {
        field.name: field.type for field in dataclasses.fields(Announcement)
    }
    if not isinstance(fields, dict) or set(fields) != set(expected_types):
        return _bad_field("body", f"the fields are not {', '.join(expected_types)}")
    for name, expected_type in expected_types.items():
        value = fields[name]
        if (
            not fields_.check_of(expected_type)(value)
            or not value
            or (expected_type is int and not 0 < value <= fields_.MAX_WHOLE)
        ):
            return _bad_field(
                name,
                f"{name} is not of type {expected_type.__name__},"
                " or is empty, zero, negative or too large",
            )
    if not fields["address"].startswith("http://"):
        return _bad_field("address", "the address is not an http URL")
    return result.Ok(Announcement(**fields))


def _outcome_of(reply, body):
    if reply.status == _STATUS_OK:
        return CallResult(contract.Verdict.SUCCEEDED, body)
    if reply.status == _STATUS_TOO_LATE:
        return _never_started(contract.RejectReason.TOO_LATE, body)
    if reply.status == _STATUS_THROTTLED:
        retry_after_ms = _retry_after_ms(reply.headers.get("Retry-After", ""))
        return _never_started(contract.RejectReason.THROTTLED, body, retry_after_ms)
    text = body.decode("utf-8", "replace")[:_MAX_ERROR_CHARACTERS]
    return CallResult(contract.Verdict.FAILED, f"{reply.status}: {text}".encode())


def _retry_after_ms(text):
    """Decode a Retry-After in seconds; one that is no such number counts as 1."""
    is_number = text.isascii() and text.isdigit() and len(text) <= _MAX_RETRY_DIGITS
    return (int(text) if is_number else 1) * clock.MILLISECONDS_PER_SECOND


def _result_too_long(reply):
    """Return the outcome of an answer that was too long: the attempt has failed."""
    if reply.status in (_STATUS_TOO_LATE, _STATUS_THROTTLED):
        return _outcome_of(reply, b"")
    return CallResult(
        contract.Verdict.FAILED, b"the result is longer than result_bytes"
    )


def _never_started(reason, body, retry_after_ms=0):
    return CallResult(None, body, reason, retry_after_ms)


def _bad_field(place, message):
    return result.Err(
        problem.Problem(
            kind=problem.Kind.BAD_REQUEST,
            message=message,
            remedy="see docs/DESIGN.md, Interfaces, for the fields of an announcement",
            place=place,
        )
    )
