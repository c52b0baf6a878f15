"""Run every feature and close with one plain line of counts.

Each feature runs in a process of its own, a few at a time, the longest first; each
process draws its ports from a range of its own. Scenarios named in KNOWN-RED.txt are
run and printed, and only those may fail.
"""

import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import threading

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
_AT_A_TIME = 4
#: The ports of the processes, below those of outgoing connections.
_FIRST_PORT = 23_000
_PORTS_EACH = 2_000
#: Features that take long begin first, so that none is waited for alone at the end.
_LONG = (
    "mutants",
    "failures",
    "model",
    "replay",
    "policies",
    "soak",
    "platform",
    "direct_soak",
)


def known_red():
    """Read the names of the scenarios that are allowed to fail.

    Returns:
      A set of scenario names, one for each entry line ``test: NAME``.
    """
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line[:5] == "test:"}


def scenarios(report):
    """Yield the name and the status of each scenario of a behave report.

    Args:
      report: A list of features, as behave's json formatter writes them.
    """
    for feature in report:
        for element in feature.get("elements", ()):
            if element["type"] != "background":
                # An outline's examples are named with a blank at their end.
                yield element["name"].strip(), element.get("status", "undefined")


def features(arguments):
    """Choose what to run.

    Args:
      arguments: A list of strings, those of the command line.

    Returns:
      A list of lists of arguments, one for each process of behave.
    """
    if arguments:
        return [arguments]
    paths = sorted((ROOT / "features").glob("*.feature"))
    long = [ROOT / "features" / f"{name}.feature" for name in _LONG]
    ordered = [path for path in long if path in paths]
    ordered += [path for path in paths if path not in long]
    return [[str(path)] for path in ordered]


class Slots:
    """Hands each process that runs a range of ports of its own."""

    def __init__(self, count):
        """Begin with all ranges free."""
        self._free = list(range(count))
        self._lock = threading.Lock()

    def take(self):
        """Take a range, as its number."""
        with self._lock:
            return self._free.pop()

    def give_back(self, slot):
        """Give a range back."""
        with self._lock:
            self._free.append(slot)


def run(arguments, slots):
    """Run behave once.

    Args:
      arguments: A list of strings.
      slots: A Slots.

    Returns:
      A pair of the results, as `scenarios` yields them, and of whether behave itself
      failed without a failed scenario.
    """
    slot = slots.take()
    first = _FIRST_PORT + slot * _PORTS_EACH
    ports = f"{first},{first + _PORTS_EACH}"
    try:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "report.json"
            # The first format goes to the file, the second to standard output.
            command = [sys.executable, "-m", "behave", "-f", "json", "-o", path]
            command += ["-f", "progress", *arguments]
            done = subprocess.run(
                command,
                cwd=ROOT,
                check=False,
                env=os.environ | {"JUJUBEGLADE_TEST_PORTS": ports},
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
            )
            text = path.read_text(encoding="utf-8") if path.exists() else ""
    finally:
        slots.give_back(slot)
    print(done.stdout, flush=True)
    results = list(scenarios(json.loads(text or "[]")))
    passed = all(verdict in ("passed", "skipped") for _, verdict in results)
    return results, done.returncode != 0 and passed


def main():
    """Run behave with the arguments given and print the verdict.

    Returns:
      A process exit status: 0 when only known failures occurred.
    """
    slots = Slots(_AT_A_TIME)
    with concurrent.futures.ThreadPoolExecutor(_AT_A_TIME) as pool:
        runs = [pool.submit(run, each, slots) for each in features(sys.argv[1:])]
        ended = [each.result() for each in runs]
    results = [result for found, _ in ended for result in found]
    crashed = any(crash for _, crash in ended)
    failed = [name for name, verdict in results if verdict not in ("passed", "skipped")]
    passed = sum(verdict == "passed" for _, verdict in results)
    allowed = known_red()
    for name in failed:
        label = "KNOWN RED" if name in allowed else "FAILED"
        print(f"{label}: {name}")
    print(f"{passed} passed, {len(failed)} failed")
    new_failures = [name for name in failed if name not in allowed]
    return 1 if crashed or new_failures or not results else 0


if __name__ == "__main__":
    sys.exit(main())
