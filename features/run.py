"""Run every feature and print one line of counts at the end.

Each feature runs in its own process, a few at a time, the longest first; each process
uses its own range of ports. Those that measure what a process holds follow, one at a
time. Scenarios named in KNOWN-RED.txt are run and printed, and
only they may fail.
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
_MAX_PROCESSES = 4
#: The first port of the first process. All ranges stay below the ephemeral ports, which
#: outgoing connections use.
_FIRST_PORT = 23_000
_PORTS_PER_PROCESS = 2_000
#: Slow features start first, so that none of them runs alone at the end.
_SLOW_FEATURES = (
    "mutants",
    "failures",
    "model",
    "replay",
    "policies",
    "soak",
    "platform",
    "direct_soak",
)

#: Features that run apart from all others, after them.
_FEATURES_ALONE = ("clients",)


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
    """Yield the name and the status of each scenario in a behave report.

    Args:
      report: A list of features, as behave's json formatter writes them.
    """
    for feature in report:
        for element in feature.get("elements", ()):
            if element["type"] != "background":
                # behave appends a blank to the names of an outline's examples.
                yield element["name"].strip(), element.get("status", "undefined")


def failures(report):
    """Yield a text for each step that failed in a behave report.

    Args:
      report: A list of features, as behave's json formatter writes them.
    """
    for feature in report:
        for element in feature.get("elements", ()):
            for step in element.get("steps", ()):
                result = step.get("result", {})
                if result.get("status") not in ("failed", "error"):
                    continue
                # behave writes a long message as a list of lines.
                message = result.get("error_message", "")
                text = message if isinstance(message, str) else "\n".join(message)
                yield f"{element['name'].strip()}: {step['name']}\n{text}"


def behave_arguments(arguments):
    """Divide the run into processes of behave.

    Args:
      arguments: A list of strings, those of the command line; if there are any, all
        run in one process.

    Returns:
      A pair of lists of lists of arguments, one for each process of behave: of those
      that run side by side, and of those that run alone.
    """
    if arguments:
        return [arguments], []
    all_paths = sorted((ROOT / "features").glob("*.feature"))
    alone = [path for path in all_paths if path.stem in _FEATURES_ALONE]
    paths = [path for path in all_paths if path not in alone]
    slow = [ROOT / "features" / f"{name}.feature" for name in _SLOW_FEATURES]
    ordered = [path for path in slow if path in paths]
    ordered += [path for path in paths if path not in slow]
    return [[str(path)] for path in ordered], [[str(path)] for path in alone]


class PortRanges:
    """The port ranges, each used by one running process at a time."""

    def __init__(self, count):
        """Create the ranges, all of them free.

        Args:
          count: An integer.
        """
        self._free = list(range(count))
        self._lock = threading.Lock()

    def take(self):
        """Take a free range and return its number."""
        with self._lock:
            return self._free.pop()

    def give_back(self, number):
        """Free a range by its number."""
        with self._lock:
            self._free.append(number)


def run(arguments, port_ranges):
    """Run behave once.

    Args:
      arguments: A list of strings.
      port_ranges: A PortRanges.

    Returns:
      A pair: a list of the results that `scenarios` yields, and a boolean, true if
      behave failed although no scenario did.
    """
    number = port_ranges.take()
    first = _FIRST_PORT + number * _PORTS_PER_PROCESS
    ports = f"{first},{first + _PORTS_PER_PROCESS}"
    try:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "report.json"
            # The first format is written to the file, the second to standard output.
            command = [sys.executable, "-m", "behave", "-f", "json", "-o", path]
            command += ["-f", "progress", *arguments]
            process = subprocess.run(
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
        port_ranges.give_back(number)
    report = json.loads(text or "[]")
    print(process.stdout, *failures(report), sep="\n", flush=True)
    results = list(scenarios(report))
    passed = all(status in ("passed", "skipped") for _, status in results)
    return results, process.returncode != 0 and passed


def main():
    """Run behave with the arguments given and print the result.

    Returns:
      An integer, the exit status: 0 if only scenarios of KNOWN-RED.txt failed.
    """
    port_ranges = PortRanges(_MAX_PROCESSES)
    together, alone = behave_arguments(sys.argv[1:])
    with concurrent.futures.ThreadPoolExecutor(_MAX_PROCESSES) as pool:
        futures = [pool.submit(run, arguments, port_ranges) for arguments in together]
        outcomes = [future.result() for future in futures]
    outcomes += [run(arguments, port_ranges) for arguments in alone]
    results = [result for process_results, _ in outcomes for result in process_results]
    crashed = any(process_crashed for _, process_crashed in outcomes)
    failed = [name for name, status in results if status not in ("passed", "skipped")]
    passed = sum(status == "passed" for _, status in results)
    allowed = known_red()
    for name in failed:
        label = "KNOWN RED" if name in allowed else "FAILED"
        print(f"{label}: {name}")
    print(f"{passed} passed, {len(failed)} failed")
    new_failures = [name for name in failed if name not in allowed]
    return 1 if crashed or new_failures or not results else 0


if __name__ == "__main__":
    sys.exit(main())
