"""Batches of records as bytes.

Records of one process and incarnation that follow each other form a *run*,
which names the process and what precedes its first record once:

    [process, incarnation, previous_ms, previous_hash,
     [[sequence, wall_ms, kind, subject, detail, hash], ...]]
"""

import msgpack
from result import Err, Ok

from jujubeglade.core import _journal_record, problem


def pack(records):
    """Encode records, keeping their order.

    Args:
      records: An iterable of Records.

    Returns:
      Bytes.
    """
    runs = []
    before = None
    for record in records:
        if before is None or not _follows(record, before):
            head = [record.process, record.incarnation]
            runs.append([*head, record.previous_ms, record.previous_hash, []])
        runs[-1][-1].append(_row(record))
        before = record
    return msgpack.packb(runs)


def unpack(data):
    """Decode records.

    Args:
      data: Bytes that `pack` made.

    Returns:
      Ok with a tuple of Records, or Err with a Problem.
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


def _follows(record, before):
    """Say whether a record continues the run of the one before it."""
    return (
        record.source == before.source
        and record.previous_hash == before.hash
        and record.previous_ms == before.last_ms
    )


def _row(record):
    """List the fields that differ from record to record."""
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
