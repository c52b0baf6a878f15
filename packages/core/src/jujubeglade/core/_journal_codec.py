"""The encoding of batches of records as bytes.

Consecutive records of one process and incarnation form a *run*, which contains the
process and the predecessor of its first record only once:

    [process, incarnation, previous_ms, previous_hash,
     [[sequence, wall_ms, kind, subject, detail, hash], ...]]
"""

import msgpack
from result import Err, Ok

from jujubeglade.core import _journal_record, problem


def pack(records):
    """Encode records in their order.

    Args:
      records: An iterable of Records.

    Returns:
      Bytes.
    """
    runs = []
    previous = None
    for record in records:
        if previous is None or not _follows(record, previous):
            head = [record.process, record.incarnation]
            runs.append([*head, record.previous_ms, record.previous_hash, []])
        runs[-1][-1].append(_row(record))
        previous = record
    return msgpack.packb(runs)


def unpack(data):
    """Decode records.

    Args:
      data: Bytes that `pack` returned.

    Returns:
      A Result of a tuple of Records, or of a Problem.
    """
    try:
        return Ok(tuple(_records(msgpack.unpackb(data))))
    except (ValueError, TypeError, IndexError, msgpack.UnpackException) as error:
        return Err(
            problem.Problem(
                problem.Kind.FRAME,
                f"the records can't be read: {error}",
                "run the same release of jujubeglade on both sides",
            )
        )


def _follows(record, previous):
    """Tell whether a record continues the run of the previous one."""
    return (
        record.source == previous.source
        and record.previous_hash == previous.hash
        and record.previous_ms == previous.last_ms
    )


def _row(record):
    """Return the fields that differ from record to record."""
    return [
        record.sequence,
        record.wall_ms,
        str(record.kind),
        record.subject,
        record.detail,
        record.hash,
    ]


def _records(runs):
    """Yield the records of decoded runs."""
    for process, incarnation, previous_ms, previous_hash, rows in runs:
        for sequence, wall_ms, kind, subject, detail, digest in rows:
            record = _journal_record.Record(
                process,
                incarnation,
                sequence,
                wall_ms,
                _journal_record.Kind(kind),
                subject,
                detail,
                previous_ms,
                previous_hash,
                digest,
            )
            yield record
            previous_ms = record.last_ms
            previous_hash = digest
