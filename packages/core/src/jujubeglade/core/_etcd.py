"""The etcd driver, which uses the v3 JSON gateway over HTTP.

The gateway encodes keys and values in base64 and 64-bit integers as decimal strings,
and omits fields that are zero. The HTTP status tells whether a write may have been
applied:

| status                   | write   | why                                          |
|--------------------------|---------|----------------------------------------------|
| 4xx except 408 and 499   | none    | refused before it was proposed               |
| 408, 499, 5xx            | unknown | cancelled or timed out after it was proposed |
"""

import base64
import json
import math

import aiohttp
import result

from jujubeglade.core import _store_base as base
from jujubeglade.core import clock, problem

_CANCELLED_STATUSES = (408, 499)
_FIRST_CLIENT_ERROR_STATUS = 400
_FIRST_SERVER_ERROR_STATUS = 500
_CONNECT_TIMEOUT_SHARE = 0.5
_RETRY_AFTER_MS = 100
_MIN_TTL_S = 1

# Without a connection the request did not reach the store.
_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_TRANSPORT_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)
_MALFORMED_ERRORS = (ValueError, KeyError, TypeError, AttributeError)


def _encode(data):
    """Encode bytes or a string in base64."""
    raw = data.encode() if isinstance(data, str) else data
    return base64.b64encode(raw).decode()


def _decode(text):
    """Decode base64 to bytes."""
    return base64.b64decode(text, validate=True)


def _prefix_end(prefix):
    """Find the first key after all keys with a prefix.

    Args:
      prefix: A string, not empty.

    Returns:
      Bytes. UTF-8 has no byte 0xff, so the last byte can always be incremented.
    """
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1])


def _range_of(prefix):
    """Build the key fields of a request for a prefix."""
    return {"key": _encode(prefix), "range_end": _encode(_prefix_end(prefix))}


def _entry(pair):
    """Decode one key-value pair of an answer.

    Args:
      pair: A dict from the gateway's JSON.

    Returns:
      An Entry.
    """
    return base.Entry(
        _decode(pair["key"]).decode(),
        _decode(pair.get("value", "")),
        int(pair.get("mod_revision", 0)),
    )


def _event(fields):
    """Decode one event of a watch."""
    deleted = fields.get("type") == "DELETE"
    return base.Event(_entry(fields["kv"]), deleted)


def _malformed(path, error):
    """Make the problem of an answer that is not in the gateway's format."""
    return base.unknown(f"{path}: malformed answer: {error!r}")


class _Etcd(base.Store):
    """A store that uses an etcd gateway."""

    __slots__ = ("_session", "_settings")

    def __init__(self, settings):
        self._settings = settings
        self._session = None

    async def get(self, key):
        """Read one key; see `Store.get`."""

        def read(answer):
            pairs = answer.get("kvs", ())
            return _entry(pairs[0]) if pairs else base.Entry(key, b"", 0)

        return await self._call("/v3/kv/range", {"key": _encode(key)}, read)

    async def get_prefix(self, prefix):
        """Read all keys under a prefix; see `Store.get_prefix`."""

        def read(answer):
            return tuple(_entry(pair) for pair in answer.get("kvs", ()))

        return await self._call("/v3/kv/range", _range_of(prefix), read)

    async def snapshot(self, prefix):
        """Read all keys under a prefix; see `Store.snapshot`."""

        def read(answer):
            entries = tuple(_entry(pair) for pair in answer.get("kvs", ()))
            return base.Snapshot(entries, int(answer["header"]["revision"]))

        return await self._call("/v3/kv/range", _range_of(prefix), read)

    async def compare_and_swap(self, key, value, mod_revision, lease_id=0):
        """Write a key if it is unchanged; see `Store.compare_and_swap`."""
        if len(value) > base.MAX_VALUE_BYTES:
            message = f"a value of {len(value)} bytes is above {base.MAX_VALUE_BYTES}"
            return result.Err(base.not_applied(message, problem.Kind.TOO_LARGE))
        put = {"key": _encode(key), "value": _encode(value), "lease": str(lease_id)}
        compare = {
            "key": _encode(key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(mod_revision),
        }
        body = {"compare": [compare], "success": [{"request_put": put}]}

        def read(answer):
            return int(answer["header"]["revision"]), bool(answer.get("succeeded"))

        answer = await self._call("/v3/kv/txn", body, read)
        if answer.is_err():
            return answer
        revision, succeeded = answer.ok_value
        if not succeeded:
            return result.Err(base.conflict(key, mod_revision))
        return result.Ok(revision)

    async def grant(self, ttl_ms):
        """Ask for a lease; see `Store.grant`."""
        ttl_s = max(_MIN_TTL_S, math.ceil(clock.seconds(ttl_ms)))

        def read(answer):
            granted_ms = int(answer["TTL"]) * clock.MILLISECONDS_PER_SECOND
            return base.Lease(int(answer["ID"]), granted_ms)

        return await self._call("/v3/lease/grant", {"TTL": str(ttl_s)}, read)

    async def keepalive(self, lease_id):
        """Renew a lease; see `Store.keepalive`."""

        def read(answer):
            ttl_s = int(answer["result"].get("TTL", 0))
            return base.Lease(lease_id, ttl_s * clock.MILLISECONDS_PER_SECOND)

        body = {"ID": str(lease_id)}
        answer = await self._call("/v3/lease/keepalive", body, read)
        if answer.is_ok() and answer.ok_value.ttl_ms <= 0:
            return result.Err(_lease_ended(lease_id))
        return answer

    async def revoke(self, lease_id):
        """End a lease; see `Store.revoke`."""
        body = {"ID": str(lease_id)}
        return await self._call("/v3/lease/revoke", body, lambda _: None)

    async def watch(self, prefix, start_revision=0):
        """Watch the changes under a prefix; see `Store.watch`."""
        request = _range_of(prefix) | {"start_revision": str(start_revision)}
        try:
            async with self._post("/v3/watch", {"create_request": request}) as answer:
                if answer.status >= _FIRST_CLIENT_ERROR_STATUS:
                    yield result.Err(await _refusal("/v3/watch", answer))
                    return
                async for message in _lines(answer.content):
                    for event in message["result"].get("events", ()):
                        yield result.Ok(_event(event))
                    if message["result"].get("canceled"):
                        break
            yield result.Err(base.not_applied("/v3/watch: the store ended the watch"))
        except _TRANSPORT_ERRORS as error:
            yield result.Err(base.not_applied(f"/v3/watch: {error!r}"))
        except _MALFORMED_ERRORS as error:
            yield result.Err(_malformed("/v3/watch", error))

    async def close(self):
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def _post(self, path, body, total_ms=None):
        """Start one request.

        Args:
          path: A string.
          body: A dict, sent as JSON.
          total_ms: A number, the timeout of the whole call; None for no timeout.

        Returns:
          An asynchronous context manager of the aiohttp response.
        """
        if self._session is None:
            self._session = aiohttp.ClientSession()
        connect_ms = self._settings.timeout_ms * _CONNECT_TIMEOUT_SHARE
        timeout = aiohttp.ClientTimeout(
            total=None if total_ms is None else clock.seconds(total_ms),
            connect=clock.seconds(connect_ms),
        )
        token = self._settings.token
        headers = {"Authorization": token} if token else {}
        url = self._settings.address.rstrip("/") + path
        return self._session.post(url, json=body, headers=headers, timeout=timeout)

    async def _call(self, path, body, read):
        """Send one request and read its answer.

        Args:
          path: A string.
          body: A dict, sent as JSON.
          read: A function that takes the decoded answer and returns the value for
            the caller.

        Returns:
          A Result of the value that `read` returned, or of a Problem.
        """
        try:
            async with self._post(path, body, self._settings.timeout_ms) as answer:
                if answer.status >= _FIRST_CLIENT_ERROR_STATUS:
                    return result.Err(await _refusal(path, answer))
                text = await answer.read()
        except _CONNECT_ERRORS as error:
            message = f"{path}: no connection: {error}"
            cause = base.not_applied(message, retry_after_ms=_RETRY_AFTER_MS)
            return result.Err(cause)
        except _TRANSPORT_ERRORS as error:
            return result.Err(base.unknown(f"{path}: no answer: {error!r}"))
        try:
            return result.Ok(read(json.loads(text)))
        except _MALFORMED_ERRORS as error:
            return result.Err(_malformed(path, error))


async def _refusal(path, answer):
    """Make the problem of an answer with an error status; see the module's table.

    Args:
      path: A string.
      answer: An aiohttp response.

    Returns:
      A Problem.
    """
    detail = (await answer.text())[:200]
    message = f"{path}: status {answer.status}: {detail}"
    cancelled = answer.status in _CANCELLED_STATUSES
    if cancelled or answer.status >= _FIRST_SERVER_ERROR_STATUS:
        return base.unknown(message)
    return base.not_applied(message)


def _lease_ended(lease_id):
    """Make the problem of a lease that has ended."""
    return problem.Problem(
        problem.Kind.CONFLICT,
        f"lease {lease_id} has lapsed",
        "ask for another lease and write its keys again",
        place="store",
    )


async def _lines(content):
    """Split a stream into JSON documents, one per line.

    It reads chunks, because a line can contain a whole value and then exceeds the line
    limit of a stream reader.

    Args:
      content: An aiohttp stream reader.

    Yields:
      A dict for each line.
    """
    pending = bytearray()
    async for chunk in content.iter_any():
        pending += chunk
        *complete, rest = pending.split(b"\n")
        pending = bytearray(rest)
        for line in complete:
            if line.strip():
                yield json.loads(line)


@base.driver("etcd")
def connect(settings):
    """Make a store that uses an etcd gateway.

    Args:
      settings: A Settings record.

    Returns:
      A Store.
    """
    return _Etcd(settings)
