"""Commands that judge: check of settings, audit verify."""

from jujubeglade.core import settings
from jujubeglade.tools import report as reports

# A journal that its process still writes has no end yet; that is no fault.
_OPEN_TAIL = "tail"
_DAMAGED = "damaged"


def check_settings(paths, report):
    """Check settings files and show every problem of each.

    Args:
      paths: A sequence of strings.
      report: A Report.

    Returns:
      An Exit.
    """
    problems = []
    for path in paths:
        problems.extend(settings.load(path).err() or ())
    rows = [(each.place, each.message, each.remedy) for each in problems]
    report.rows(("place", "problem", "remedy"), rows)
    if rows:
        return reports.Exit.REFUSED
    report.note(f"{len(paths)} files are right")
    return reports.Exit.DONE


async def verify_audit(operator, report, key):
    """Fetch the audit records and verify their chains.

    Args:
      operator: A Client.
      report: A Report.
      key: Bytes, the cluster key that the records were made with.

    Returns:
      An Exit: REFUSED when anything but an open tail was found, or no records.
    """
    # The journal is imported here, since no other command needs it.
    from jujubeglade.core import journal  # noqa: PLC0415

    answer = await operator.audit()
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
    rows = [(each.kind, str(each)) for each in findings]
    rows.extend((_DAMAGED, line) for line in damaged)
    report.rows(("finding", "detail"), rows)
    report.note(f"{len(records.ok())} records verified")
    whole = not damaged and all(each.kind == _OPEN_TAIL for each in findings)
    return reports.Exit.DONE if whole else reports.Exit.REFUSED
