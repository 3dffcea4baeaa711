"""
Runs all tests; only tests listed in KNOWN-RED.txt may fail, and they are printed.

Most tests run side by side, file by file. Those marked ``alone`` measure the memory of
a process under load, and run after them, one at a time.
"""

import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ElementTree
from collections.abc import Sequence, Set
from dataclasses import dataclass
from pathlib import Path

from pytest import ExitCode

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# Options of pytest for each part.
SIDE_BY_SIDE = ("-m", "not alone", "-n", "4", "--dist", "loadfile")
ALONE = ("-m", "alone")


def read_known_red(text: str) -> frozenset[str]:
    """
    Return the test ids of KNOWN-RED.txt, the first field of each entry.

    >>> sorted(read_known_red("# note\\na.b::test_c | pytest | seen | 4\\n"))
    ['a.b::test_c']
    """
    lines = (line.strip() for line in text.splitlines())
    entries = (line for line in lines if line and not line.startswith("#"))
    return frozenset(entry.split("|")[0].strip() for entry in entries)


def read_failures(report: Path) -> frozenset[str]:
    """Return the ids (class name and test name) of failed tests in a JUnit report."""
    cases = ElementTree.parse(report).getroot().iter("testcase")
    failed = (
        case
        for case in cases
        if case.find("failure") is not None or case.find("error") is not None
    )
    return frozenset(f"{case.get('classname')}::{case.get('name')}" for case in failed)


@dataclass(frozen=True)
class PartResult:
    """
    How pytest ended for one part of the tests.

    :param status: exit status of pytest.
    :param failures: ids of the failed tests.
    """

    status: int
    failures: frozenset[str] = frozenset()


def run_part(options: Sequence[str]) -> PartResult:
    """Run pytest with these options."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.xml"
        command = [sys.executable, "-m", "pytest", f"--junitxml={report}", *options]
        status = subprocess.run(command, cwd=ROOT).returncode
        if status == ExitCode.TESTS_FAILED:
            return PartResult(status, read_failures(report))
        return PartResult(status)


def judge(parts: Sequence[PartResult], known: Set[str]) -> int:
    """
    Return the exit status of all parts together, 0 if only known tests failed.

    A selection of tests may leave one part without any, but not all parts.

    >>> judge([PartResult(0), PartResult(1, frozenset({"a::b"}))], {"a::b"})
    0
    >>> judge([PartResult(0), PartResult(1, frozenset({"a::c"}))], {"a::b"})
    1
    >>> judge([PartResult(1), PartResult(0)], {"a::b"})
    1
    >>> judge([PartResult(0), PartResult(5)], set())
    0
    >>> judge([PartResult(5), PartResult(5)], set()), judge([PartResult(2)], set())
    (5, 2)
    """
    for part in parts:
        is_known = bool(part.failures) and part.failures <= known
        match part.status:
            case ExitCode.OK | ExitCode.NO_TESTS_COLLECTED:
                continue
            case ExitCode.TESTS_FAILED if is_known:
                continue
            case status:
                return int(status)
    is_empty = all(part.status == ExitCode.NO_TESTS_COLLECTED for part in parts)
    return int(ExitCode.NO_TESTS_COLLECTED if is_empty else ExitCode.OK)


def main() -> int:
    """Run both parts and return 0 when every failure is listed in KNOWN-RED.txt."""
    parts = [run_part((*part, *sys.argv[1:])) for part in (SIDE_BY_SIDE, ALONE)]
    failures = frozenset().union(*(part.failures for part in parts))
    known = read_known_red(KNOWN_RED.read_text())
    for test in sorted(known):
        state = "failed" if test in failures else "passed"
        print(f"known red ({state}): {test}")
    for test in sorted(failures - known):
        print(f"failed and not listed in KNOWN-RED.txt: {test}")
    return judge(parts, known)


if __name__ == "__main__":
    sys.exit(main())
