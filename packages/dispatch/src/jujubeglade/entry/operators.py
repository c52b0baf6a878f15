"""The HTTP interface of operators: commands of the operators' language."""

import result
from aiohttp import web

from jujubeglade import query
from jujubeglade.core import configuration, problem
from jujubeglade.entry import callers, tokens

_MAX_TEXT_CHARACTERS = 100_000


class Operators:
    """The handlers of one entry for operators."""

    def __init__(self, entry):
        """Serve for an entry.

        Args:
          entry: The Entry.
        """
        self._entry = entry
        self._tokens = tokens.Tokens(entry.settings.operator_tokens)

    def add_routes(self, app):
        """Add the operators' routes to an application.

        Args:
          app: An aiohttp.web.Application.
        """
        app.router.add_post("/v1/commands", self.run)

    async def run(self, request):
        """Run one command."""
        operator = self._tokens.name_of(request)
        if operator is None:
            return callers.unauthorized()
        fields = await callers.read_json(request)
        if not _is_command(fields):
            return callers.refuse(callers.bad_request("body", 'give "id" and "text"'))
        parsed = query.parse(fields["text"])
        if parsed.is_err():
            return callers.refuse(parsed.err_value)
        outcome = await self._run(
            operator, fields["id"], fields["text"], parsed.ok_value
        )
        if outcome.is_err():
            return callers.refuse(outcome.err_value)
        return web.json_response(outcome.ok_value)

    async def _run(self, operator, command_id, text, parsed):
        if not query.is_change(parsed):
            return result.Err(
                problem.Problem(
                    kind=problem.Kind.BAD_REQUEST,
                    message="this command is not served yet",
                    remedy="use a command that changes the configuration",
                )
            )
        name, arguments = query.change_of(parsed)
        built = configuration.build(name, arguments)
        if built.is_err():
            return built
        command = configuration.Command(
            command_id, text, operator, self._entry.clock.wall_ms(), parsed.if_revision
        )
        changed = await self._entry.change(built.ok_value, command)
        if changed.is_err():
            return changed
        outcome, stage = changed.ok_value
        return result.Ok(
            {
                "id": command_id,
                "status": stage,
                "revision": outcome.revision,
                "lines": [f"{outcome.status}: {outcome.text}"],
            }
        )


def _is_command(fields):
    return (
        isinstance(fields, dict)
        and set(fields) == {"id", "text"}
        and all(isinstance(value, str) and value for value in fields.values())
        and len(fields["text"]) <= _MAX_TEXT_CHARACTERS
    )
