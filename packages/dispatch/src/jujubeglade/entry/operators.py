"""The HTTP interface of operators: commands, and the audit records."""

import dataclasses
import json
import re

from aiohttp import web

from jujubeglade import query
from jujubeglade.core import journal, log, problem
from jujubeglade.entry import callers, command, refusals, tokens

_MAX_TEXT_CHARACTERS = 100_000
_MAX_AUDIT_RECORDS = 1_000_000
_MAX_NAMED_SEGMENTS = 20
_DAMAGED_HEADER = "Jujubeglade-Damaged"
_RECORDED_CHARACTERS = 500
_ID = re.compile(r"[A-Za-z0-9_=~-][\w.=~:-]{0,99}", re.ASCII)

_log = log.get(__name__)


class Operators:
    """The handlers of one entry for operators."""

    def __init__(self, entry):
        """Serve for an entry.

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
        fields = await callers.read_json(request)
        if not _is_command(fields):
            remedy = 'give "id" of up to 100 letters and digits, and "text"'
            bad = refusals.bad_request("body", remedy)
            return self._refusals.refuse(bad, by=operator)
        parsed = query.parse(fields["text"])
        if parsed.is_err():
            return self._refuse(fields["id"], operator, parsed.err_value)
        order = command.Order(fields["id"], fields["text"], operator, parsed.ok_value)
        served = await command.serve(self._entry, order)
        if served.is_err():
            self._record(order, _status_of(served.err_value), 0)
            return self._refuse(order.command_id, operator, served.err_value)
        reply = served.ok_value
        self._record(order, reply.status, reply.revision)
        return web.json_response({"id": order.command_id} | dataclasses.asdict(reply))

    async def audit(self, request):
        """Hand out the records that the store holds, the newest first when bounded."""
        operator = self._tokens.name_of(request)
        if operator is None:
            return self._refusals.unauthorized()
        limit = _read_limit(request.query.get("limit", "0"))
        if limit is None:
            remedy = f"give 0 for all, or up to {_MAX_AUDIT_RECORDS}"
            bad = refusals.bad_request("limit", remedy)
            return self._refusals.refuse(bad, by=operator)
        read = await self._entry.archive.read_all(limit)
        if read.is_err():
            return self._refusals.refuse(read.err_value, by=operator)
        found = read.ok_value
        return web.Response(
            body=journal.pack(found.records),
            content_type="application/msgpack",
            headers={_DAMAGED_HEADER: _named(found.damaged)} if found.damaged else {},
        )

    def _refuse(self, command_id, operator, trouble):
        """Refuse a command, saying what became of it."""
        status = _status_of(trouble)
        return self._refusals.refuse(trouble, by=operator, id=command_id, status=status)

    def _record(self, order, status, revision):
        """Record a command with its result; those that only read leave none."""
        if query.is_reading(order.command):
            return
        facts = {"by": order.by, "status": status, "revision": revision}
        text = order.text[:_RECORDED_CHARACTERS]
        self._entry.journal.record(
            journal.Kind.COMMAND, order.command_id, text=text, **facts
        )
        _log.info("command run", command=order.command_id, text=text, **facts)


def _status_of(trouble):
    """Name the status of a command that was not carried out."""
    if trouble.kind is problem.Kind.CONFLICT:
        return "lost"
    if trouble.outcome is problem.Outcome.UNKNOWN:
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
    """Read a number of records; None when it is out of range."""
    if not (text.isascii() and text.isdigit() and len(text) <= len("1000000")):
        return None
    limit = int(text)
    return limit if limit <= _MAX_AUDIT_RECORDS else None


def _named(damaged):
    """Name damaged segments, as a JSON text for a header."""
    return json.dumps([str(each) for each in damaged[:_MAX_NAMED_SEGMENTS]])
