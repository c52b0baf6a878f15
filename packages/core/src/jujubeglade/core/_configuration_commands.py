"""Commands: a change, who asked for it, and what becomes of it.

A command is decided against the revision that its operator saw. It loses only if
another command has changed the same subject since, and it still asks for something
else. What was forgotten can't be compared: a revision older than the outcomes that
the document keeps is refused.

| subject changed since the operator looked | alters the document | outcome     |
|-------------------------------------------|---------------------|-------------|
| any                                       | no                  | `unchanged` |
| no                                        | yes                 | `applied`   |
| yes                                       | yes                 | `lost`      |
"""

import dataclasses

import result

from jujubeglade.core import _configuration_document as fields
from jujubeglade.core import problem

_MAX_TEXT = 500
_MAX_ID = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """One order of an operator.

    Attributes:
      command_id: A string; a repetition carries the same id.
      text: A string, the command as it was written.
      by: A string, the operator.
      wall_ms: An integer, milliseconds since 1970.
      expected_revision: An integer, the revision that the operator saw; None to
        apply to whatever is there.
    """

    command_id: str
    text: str
    by: str
    wall_ms: int
    expected_revision: int | None = None


def apply(document, change, command):
    """Apply a command.

    Args:
      document: A Document that holds no outcome of this command.
      change: A change.
      command: A Command.

    Returns:
      A Result of a Document of the next revision, with the outcome, or of a Problem;
      of kind `conflict` if the command lost a race.
    """
    trouble = _check(command)
    if trouble is not None:
        return result.Err(trouble)
    changed = change.applied_to(document)
    if changed.is_err():
        return changed
    if changed.ok_value == document:
        return _recorded(document, document, change, command, fields.Status.UNCHANGED)
    trouble = _race(document, change, command)
    if trouble is not None:
        return result.Err(trouble)
    return _recorded(document, changed.ok_value, change, command, fields.Status.APPLIED)


def record_loss(document, change, command):
    """Record that a command lost, so that its repetition is told the same.

    Args:
      document: A Document to which `apply` answered a conflict.
      change: A change.
      command: A Command.

    Returns:
      A Result of a Document of the next revision, with the outcome.
    """
    return _recorded(document, document, change, command, fields.Status.LOST)


def find_outcome(document, command):
    """Look up what became of a command.

    Args:
      document: A Document.
      command: A Command.

    Returns:
      A Result of an Outcome, or None if there is none, or of a Problem if another
      command was given under this id.
    """
    for outcome in reversed(document.outcomes):
        if outcome.command_id == command.command_id:
            same = (outcome.text, outcome.by) == (command.text, command.by)
            return result.Ok(outcome) if same else result.Err(_reused(outcome))
    return result.Ok(None)


def conflict(outcome):
    """Tell the loser of a race who came first, again.

    Args:
      outcome: An Outcome of status `lost`.

    Returns:
      A Problem.
    """
    return _lost_to(outcome.subject, outcome.lost_to, outcome.lost_to_revision)


def _check(command):
    """Check the words of a command; return a Problem or None."""
    if not 0 < len(command.command_id) <= _MAX_ID:
        message = "the command id is empty or too long"
        return _bad(message, f"use 1 to {_MAX_ID} characters")
    if len(command.text) > _MAX_TEXT or len(command.by) > _MAX_ID:
        return _bad("the command is too long", f"use up to {_MAX_TEXT} characters")
    return None


def _race(document, change, command):
    """Find who came first; return a Problem or None."""
    expected = command.expected_revision
    if expected is None or expected >= document.revision:
        return None
    winner = _last_applied(document, change.subject)
    if winner is not None and winner.revision > expected:
        return _lost_to(change.subject, winner.command_id, winner.revision)
    if not _remembers(document, expected):
        return _lost_to(change.subject, "", 0)
    return None


def _lost_to(subject, command_id, revision):
    """Describe a lost race; without a command id, one that can't be decided."""
    message = f"command {command_id} changed {subject} first, at revision {revision}"
    if not command_id:
        message = f"the revision expected for {subject} is too old to compare with"
    return problem.Problem(
        problem.Kind.CONFLICT,
        message,
        "nothing was changed; look, and if you still want it send it with a new id",
        place=subject,
    )


def _last_applied(document, subject):
    """Find the last command that changed a subject; None if none is kept."""
    for outcome in reversed(document.outcomes):
        if (outcome.subject, outcome.status) == (subject, fields.Status.APPLIED):
            return outcome
    return None


def _remembers(document, revision):
    """Tell whether all outcomes after a revision are kept."""
    return bool(document.outcomes) and document.outcomes[0].revision <= revision + 1


def _recorded(before, after, change, command, status):
    """Write the outcome of a command into a document."""
    winner = _last_applied(before, change.subject)
    lost = status is fields.Status.LOST and winner is not None
    outcome = fields.Outcome(
        command.command_id,
        command.text,
        status,
        before.revision + 1,
        command.by,
        command.wall_ms,
        change.subject,
        lost_to=winner.command_id if lost else "",
        lost_to_revision=winner.revision if lost else 0,
    )
    outcomes = (*before.outcomes, outcome)[-fields.MAX_OUTCOMES :]
    revision = before.revision + 1
    return result.Ok(dataclasses.replace(after, revision=revision, outcomes=outcomes))


def _reused(outcome):
    """Refuse an id that stands for another command."""
    message = f"command id {outcome.command_id} stands for: {outcome.text}"
    return _bad(message, "use a new id for a new command")


def _bad(message, remedy):
    """Refuse a command."""
    return problem.Problem(
        problem.Kind.BAD_REQUEST, message, remedy, place="command id"
    )
