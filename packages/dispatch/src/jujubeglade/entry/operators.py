"""The HTTP interface for operators: commands, and the audit records."""

import dataclasses
import json
import re

from aiohttp import web

from jujubeglade import query
from jujubeglade.core import journal, log, problem
from jujubeglade.entry import callers, command, refusals, tokens

_MAX_TEXT_CHARACTERS = 100_000
_MAX_AUDIT_RECORDS = 1_000_000
_MAX_DAMAGED_SEGMENTS = 20
_DAMAGED_HEADER = "Jujubeglade-Damaged"
_MAX_RECORDED_CHARACTERS = 500
_ID = re.compile(r"[A-Za-z0-9_=~-][\w.=~:-]{0,99}", re.ASCII)

_log = log.get(__name__)


class Operators:
    """The handlers of one entry for requests of operators."""

    def __init__(self, entry):
        """Create the handlers of an entry.

        Args:
          entry: The Entry.
        """
        self._entry = entry
        self._refusals = entry.refusals
        self._tokens = tokens.Tokens(entry.settings.operator_tokens)

    def add_routes(self, app):
        """Add the operators' routes to an application.

        Args:
          app: An aiohttp.web.Application.
        """
        app.router.add_post("/v1/commands", self.run)
        app.router.add_get("/v1/audit", self.audit)

    async def run(self, request):
        """Run one command."""
        operator = self._tokens.name_of(request)
        if operator is None:
            return self._refusals.unauthorized()
        fields = await callers.read_json(
            request, self._entry.settings.limits.max_body_bytes
        )
        if not _is_command(fields):
            remedy = 'give "id" of up to 100 letters and digits, and "text"'
            bad_body = refusals.bad_request("body", remedy)
            return self._refusals.refuse(bad_body, by=operator)
        parsed = query.parse(fields["text"])
        if parsed.is_err():
            return self._refuse(fields["id"], operator, parsed.err_value)
        invocation = command.Invocation(
            fields["id"], fields["text"], operator, parsed.ok_value
        )
        answer = await command.execute(self._entry, invocation)
        if answer.is_err():
            self._record(invocation, _status_of(answer.err_value), 0)
            return self._refuse(invocation.command_id, operator, answer.err_value)
        reply = answer.ok_value
        self._record(invocation, reply.status, reply.revision)
        return web.json_response(
            {"id": invocation.command_id} | dataclasses.asdict(reply)
        )

    async def audit(self, request):
        """Return the audit records in the store; with a limit, the newest ones."""
        operator = self._tokens.name_of(request)
        if operator is None:
            return self._refusals.unauthorized()
        limit = _read_limit(request.query.get("limit", "0"))
        if limit is None:
            remedy = f"give 0 for all, or up to {_MAX_AUDIT_RECORDS}"
            bad_limit = refusals.bad_request("limit", remedy)
            return self._refusals.refuse(bad_limit, by=operator)
        answer = await self._entry.archive.read_all(limit)
        if answer.is_err():
            return self._refusals.refuse(answer.err_value, by=operator)
        read_result = answer.ok_value
        return web.Response(
            body=journal.pack(read_result.records),
            content_type="application/msgpack",
            headers={_DAMAGED_HEADER: _as_header(read_result.damaged)}
            if read_result.damaged
            else {},
        )

    def _refuse(self, command_id, operator, cause):
        """Refuse a command; the response contains its id and status."""
        status = _status_of(cause)
        return self._refusals.refuse(cause, by=operator, id=command_id, status=status)

    def _record(self, invocation, status, revision):
        """Record a command with its status, unless it only reads."""
        if query.is_read_only(invocation.command):
            return
        facts = {"by": invocation.by, "status": status, "revision": revision}
        text = invocation.text[:_MAX_RECORDED_CHARACTERS]
        self._entry.journal.record(
            journal.Kind.COMMAND, invocation.command_id, text=text, **facts
        )
        _log.info("command run", command=invocation.command_id, text=text, **facts)


def _status_of(cause):
    """Return the status of a command that ended with a problem."""
    if cause.kind is problem.Kind.CONFLICT:
        return "lost"
    if cause.outcome is problem.Outcome.UNKNOWN:
        return "unknown"
    return "refused"


def _is_command(fields):
    return (
        isinstance(fields, dict)
        and set(fields) == {"id", "text"}
        and all(isinstance(value, str) and value for value in fields.values())
        and _ID.fullmatch(fields["id"]) is not None
        and len(fields["text"]) <= _MAX_TEXT_CHARACTERS
    )


def _read_limit(text):
    """Parse a number of records; None if it is malformed or out of range."""
    if not (text.isascii() and text.isdigit() and len(text) <= len("1000000")):
        return None
    limit = int(text)
    return limit if limit <= _MAX_AUDIT_RECORDS else None


def _as_header(damaged):
    """Encode the problems of damaged segments as JSON for a header."""
    return json.dumps([str(damage) for damage in damaged[:_MAX_DAMAGED_SEGMENTS]])
