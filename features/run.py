"""Run every feature and close with one plain line of counts.

Scenarios named in KNOWN-RED.txt are run and printed, and only those may fail.
"""

import json
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


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
                yield element["name"], element.get("status", "undefined")


def main():
    """Run behave with the arguments given and print the verdict.

    Returns:
      A process exit status: 0 when only known failures occurred.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "report.json"
        # The first format goes to the file, the second to standard output.
        arguments = ["-f", "json", "-o", path, "-f", "progress"]
        command = [sys.executable, "-m", "behave", *arguments, *sys.argv[1:]]
        status = subprocess.run(command, cwd=ROOT, check=False).returncode
        report = json.loads(path.read_text(encoding="utf-8") or "[]")
    results = list(scenarios(report))
    failed = [name for name, verdict in results if verdict not in ("passed", "skipped")]
    passed = sum(verdict == "passed" for _, verdict in results)
    allowed = known_red()
    for name in failed:
        label = "KNOWN RED" if name in allowed else "FAILED"
        print(f"{label}: {name}")
    print(f"{passed} passed, {len(failed)} failed")
    crashed = status != 0 and not failed
    new_failures = [name for name in failed if name not in allowed]
    return 1 if crashed or new_failures or not results else 0


if __name__ == "__main__":
    sys.exit(main())
