"""The daemon with counters that only the bench reads.

    python -m jujubeglade.bench.observed SETTINGS

On SIGUSR1 the process writes how many messages and bytes of each type it sent to
`SETTINGS.counts`. A file `observed.json` beside the settings may set what operators
can't change in a running system (see `_CHOICES`), and may name one process to profile:
its profile is written to `SETTINGS.profile` when it ends.
"""

import collections
import cProfile
import json
import pathlib
import signal
import sys

from jujubeglade.core import link, message
from jujubeglade.daemon import main as daemon

CHOICES_FILE = "observed.json"
_CHOICES = {}

_sent_bytes = collections.Counter()


def main():
    """Run the daemon and count what it sends."""
    path = pathlib.Path(sys.argv[1])
    _count_bytes()
    signal.signal(signal.SIGUSR1, lambda *_: _write_counts(path))
    choices = path.with_name(CHOICES_FILE)
    values = json.loads(choices.read_text("utf-8")) if choices.exists() else {}
    profiled = values.pop("profiled", None)
    for name, value in values.items():
        _CHOICES[name](value)
    if profiled != path.stem:
        daemon.main([str(path)])
        return
    profile = cProfile.Profile()
    profile.runcall(daemon.main, [str(path)])
    profile.dump_stats(path.with_suffix(".profile"))


def _choice(name):
    """Register the function that applies a value of the choices file."""

    def register(function):
        _CHOICES[name] = function
        return function

    return register


@_choice("homes")
def _set_homes_per_cell(count):
    from jujubeglade.entry import cell

    cell.HOMES_PER_CELL = count


def _count_bytes():
    """Count the encoded bytes of every message that a link sends."""
    encode = message.encode

    def counting(body):
        encoded = encode(body)
        _sent_bytes[_type_name(body)] += len(encoded)
        return encoded

    link.message.encode = counting


def _type_name(body):
    if isinstance(body, message.Request | message.Reply):
        return type(body.body).__name__
    return type(body).__name__


def _write_counts(path):
    """Write the counts atomically, so that a reader never sees a part."""
    partial = path.with_suffix(".partial")
    counts = {"messages": dict(link.sent_counts), "bytes": dict(_sent_bytes)}
    partial.write_text(json.dumps(counts), encoding="utf-8")
    partial.rename(path.with_suffix(".counts"))


if __name__ == "__main__":
    main()
