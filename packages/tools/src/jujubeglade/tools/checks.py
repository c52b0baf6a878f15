"""Commands that verify: `check` for settings files, `audit verify`."""

from jujubeglade.core import settings
from jujubeglade.tools import report as reports

# The journal of a running process has no end yet, so an open tail is no fault.
_OPEN_TAIL_FINDING = "tail"
_DAMAGED_FINDING = "damaged"


def check_settings(paths, report):
    """Check settings files and print every problem found.

    Args:
      paths: A sequence of strings.
      report: A Report.

    Returns:
      An Exit.
    """
    problems = []
    for path in paths:
        problems.extend(settings.load(path).err() or ())
    rows = [(problem.place, problem.message, problem.remedy) for problem in problems]
    report.rows(("place", "problem", "remedy"), rows)
    if rows:
        return reports.Exit.REFUSED
    report.note(f"{len(paths)} files are right")
    return reports.Exit.DONE


async def verify_audit(client, report, key):
    """Fetch the audit records and verify their hash chains.

    Args:
      client: A Client.
      report: A Report.
      key: Bytes, the cluster key that authenticates the records.

    Returns:
      An Exit: REFUSED when there are no records, or any finding but an open tail.
    """
    # Imported here, since no other command needs the journal.
    from jujubeglade.core import journal  # noqa: PLC0415

    answer = await client.audit()
    if answer.is_err():
        return report.refusal(answer.err())
    damaged = answer.ok().damaged
    records = journal.unpack(answer.ok().records)
    if records.is_err():
        return report.refusal(records.err())
    if not records.ok() and not damaged:
        report.note("there are no records to verify")
        return reports.Exit.REFUSED
    findings = journal.verify(records.ok(), key)
    rows = [(finding.kind, str(finding)) for finding in findings]
    rows.extend((_DAMAGED_FINDING, line) for line in damaged)
    report.rows(("finding", "detail"), rows)
    report.note(f"{len(records.ok())} records verified")
    is_intact = not damaged and all(
        finding.kind == _OPEN_TAIL_FINDING for finding in findings
    )
    return reports.Exit.DONE if is_intact else reports.Exit.REFUSED
