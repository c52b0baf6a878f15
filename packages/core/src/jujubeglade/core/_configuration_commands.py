"""Commands: a change, the operator who sent it, and its outcome.

A command is checked against the revision that its operator saw. It is lost only if
another command has changed the same subject since and this one would change the
document. A command whose expected revision is older than the outcomes that the
document keeps is refused, because it can't be compared with them.

| subject changed after that revision | alters the document | outcome     |
|-------------------------------------|---------------------|-------------|
| any                                 | no                  | `unchanged` |
| no                                  | yes                 | `applied`   |
| yes                                 | yes                 | `lost`      |
"""

import dataclasses

import result

from jujubeglade.core import _configuration_document as documents
from jujubeglade.core import problem

_MAX_TEXT_LENGTH = 500
_MAX_ID_LENGTH = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """One command of an operator.

    Attributes:
      command_id: A string; a repetition of the command has the same id.
      text: A string, the command as the operator wrote it.
      by: A string, the operator.
      wall_ms: An integer, the time of the command in milliseconds since 1970.
      expected_revision: An integer, the revision that the operator saw; None to
        apply the command to any revision.
    """

    command_id: str
    text: str
    by: str
    wall_ms: int
    expected_revision: int | None = None


def apply(document, change, command):
    """Apply a command.

    Args:
      document: A Document without an outcome of this command.
      change: A change.
      command: A Command.

    Returns:
      A Result of a Document of the next revision, with the outcome, or of a Problem;
      its kind is `conflict` if another command changed the subject first.
    """
    refusal = _check(command)
    if refusal is not None:
        return result.Err(refusal)
    changed = change.applied_to(document)
    if changed.is_err():
        return changed
    if changed.ok_value == document:
        return _with_outcome(
            document, document, change, command, documents.Status.UNCHANGED
        )
    refusal = _find_conflict(document, change, command)
    if refusal is not None:
        return result.Err(refusal)
    return _with_outcome(
        document, changed.ok_value, change, command, documents.Status.APPLIED
    )


def record_loss(document, change, command):
    """Record that a command was lost, so that a repetition gets the same answer.

    Args:
      document: A Document for which `apply` returned a conflict.
      change: A change.
      command: A Command.

    Returns:
      A Result of a Document of the next revision, with the outcome.
    """
    return _with_outcome(document, document, change, command, documents.Status.LOST)


def find_outcome(document, command):
    """Look up the outcome of a command.

    Args:
      document: A Document.
      command: A Command.

    Returns:
      A Result of an Outcome, or of None if there is none, or of a Problem if another
      command has the same id.
    """
    for outcome in reversed(document.outcomes):
        if outcome.command_id == command.command_id:
            same = (outcome.text, outcome.by) == (command.text, command.by)
            return result.Ok(outcome) if same else result.Err(_reused(outcome))
    return result.Ok(None)


def conflict(outcome):
    """Make the problem of a lost command again, for its repetition.

    Args:
      outcome: An Outcome of status `lost`.

    Returns:
      A Problem.
    """
    return _lost_to(outcome.subject, outcome.lost_to, outcome.lost_to_revision)


def _check(command):
    """Check the lengths of a command's texts; return a Problem or None."""
    if not 0 < len(command.command_id) <= _MAX_ID_LENGTH:
        message = "the command id is empty or too long"
        return _bad(message, f"use 1 to {_MAX_ID_LENGTH} characters")
    if len(command.text) > _MAX_TEXT_LENGTH or len(command.by) > _MAX_ID_LENGTH:
        return _bad(
            "the command is too long", f"use up to {_MAX_TEXT_LENGTH} characters"
        )
    return None


def _find_conflict(document, change, command):
    """Find a command that changed the subject first; return a Problem or None."""
    expected = command.expected_revision
    if expected is None or expected >= document.revision:
        return None
    winner = _last_applied(document, change.subject)
    if winner is not None and winner.revision > expected:
        return _lost_to(change.subject, winner.command_id, winner.revision)
    if not _has_outcomes_after(document, expected):
        return _lost_to(change.subject, "", 0)
    return None


def _lost_to(subject, command_id, revision):
    """Make the problem of a lost command.

    Without a command id, the expected revision is too old to tell whether another
    command came first.
    """
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
    """Find the last kept outcome that changed a subject; None if there is none."""
    for outcome in reversed(document.outcomes):
        if (outcome.subject, outcome.status) == (subject, documents.Status.APPLIED):
            return outcome
    return None


def _has_outcomes_after(document, revision):
    """Tell whether the document still has all outcomes after a revision."""
    return bool(document.outcomes) and document.outcomes[0].revision <= revision + 1


def _with_outcome(before, after, change, command, status):
    """Return a document of the next revision with the outcome of a command."""
    winner = _last_applied(before, change.subject)
    lost = status is documents.Status.LOST and winner is not None
    outcome = documents.Outcome(
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
    outcomes = (*before.outcomes, outcome)[-documents.MAX_OUTCOMES :]
    revision = before.revision + 1
    return result.Ok(dataclasses.replace(after, revision=revision, outcomes=outcomes))


def _reused(outcome):
    """Make the problem of an id that belongs to another command."""
    message = f"command id {outcome.command_id} stands for: {outcome.text}"
    return _bad(message, "use a new id for a new command")


def _bad(message, remedy):
    """Make the problem of a malformed command."""
    return problem.Problem(
        problem.Kind.BAD_REQUEST, message, remedy, place="command id"
    )
