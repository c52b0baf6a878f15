"""Segments: records as values of the store.

A segment holds records of one time bucket, from any processes. Its key names
the bucket, so that a reader who knows when a job was issued reads few of them:

    jujubeglade/records/001767268800000/entry-1.ee.00000007
                        bucket start    entry, incarnation, number

The value is the records packed and compressed by zlib.
"""

import zlib

from result import Err, Ok

from jujubeglade.core import journal, problem

PREFIX = "jujubeglade/records/"
BUCKET_MS = 10_000
# Records shrink to about a quarter; a segment that does not is split.
MAX_PACKED_BYTES = 2_500_000
MAX_VALUE_BYTES = 950_000
_MAX_UNPACKED_BYTES = 4 * MAX_PACKED_BYTES
_COMPRESSION_LEVEL = 6


def bucket_of(wall_ms):
    """Find the bucket of a time.

    Args:
      wall_ms: An integer, milliseconds since 1970.

    Returns:
      An integer, the start of the bucket in the same unit.
    """
    return wall_ms - wall_ms % BUCKET_MS


def bucket_prefix(bucket_ms):
    """Name the keys of a bucket.

    Args:
      bucket_ms: An integer, the start of the bucket.

    Returns:
      A string.
    """
    return f"{PREFIX}{bucket_ms:015d}/"


def key_of(bucket_ms, writer, number):
    """Name a segment.

    Args:
      bucket_ms: An integer, the start of the bucket.
      writer: A string, the entry and its incarnation.
      number: An integer, rising with each segment of the writer.

    Returns:
      A string.
    """
    return f"{bucket_prefix(bucket_ms)}{writer}.{number:08d}"


def encode(records):
    """Encode the records of a segment.

    Args:
      records: An iterable of Records.

    Returns:
      Bytes.
    """
    return zlib.compress(journal.pack(records), _COMPRESSION_LEVEL)


def decode(key, value):
    """Decode a segment.

    Args:
      key: A string, to name it in a problem.
      value: Bytes.

    Returns:
      Ok with a tuple of Records, or Err with a Problem.
    """
    try:
        packed = zlib.decompressobj().decompress(value, _MAX_UNPACKED_BYTES)
    except zlib.error as error:
        return Err(
            problem.Problem(
                problem.Kind.STORE,
                f"the segment can't be read: {error}",
                "restore the key from the store's backup; its records count as missing",
                place=key,
            )
        )
    match journal.unpack(packed):
        case Ok(records):
            return Ok(records)
        case Err(trouble):
            message = f"the segment can't be read: {trouble.message}"
            return Err(
                problem.Problem(trouble.kind, message, trouble.remedy, place=key)
            )
