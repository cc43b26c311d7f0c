"""Reader of KNOWN-RED.txt, the list of known failures, for the test suite and the fault soak."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

LIST_PATH = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
FIELD_COUNT = 4  # check, command and seed, observed failure, issue number
TEST_ID = re.compile(r"\S+\.py::.+")
SOAK_COMMAND = "python -m faults soak"
SOAK_CHECK = re.compile(rf"{re.escape(SOAK_COMMAND)}, seed (\d+): (.+)")


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """One entry of the list: a check that fails because of a fault of the software."""

    check: str  # a test id, `python -m faults soak, seed 5: deadline, lost`, or another command with its seed
    command: str
    observed: str
    issue: str

    @property
    def is_test(self) -> bool:
        """Whether the check is a test, which the suite passes over."""
        return TEST_ID.fullmatch(self.check) is not None

    @property
    def is_soak(self) -> bool:
        """Whether the check is a seed of the fault soak, which runs and reports it."""
        return self.check.startswith(SOAK_COMMAND)

    def soak_rules(self) -> tuple[int, list[str]]:
        """Return the seed of a soak and the rules whose violations are known.

        Raise ValueError if the check does not name both.
        """
        match = SOAK_CHECK.fullmatch(self.check)
        rules = [rule.strip() for rule in match[2].split(",")] if match else []
        if match is None or not all(rules):
            raise ValueError(
                f"KNOWN-RED.txt: {self.check!r} is not of the form '{SOAK_COMMAND}, seed NUMBER: RULE, RULE'"
            )
        return int(match[1]), rules


def read_known_failures(path: Path = LIST_PATH) -> list[KnownFailure]:
    """Return the entries of the list.

    Raise ValueError for a line that is neither a comment nor an entry of four fields, and for an entry of the
    soak that does not name a seed and rules.
    """
    failures = []
    for line in path.read_text().splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != FIELD_COUNT or not all(fields):
            raise ValueError(f"KNOWN-RED.txt: {line!r} does not have {FIELD_COUNT} fields")
        failure = KnownFailure(*fields)
        if failure.is_soak:
            failure.soak_rules()
        failures.append(failure)
    return failures


def known_soak_issues(failures: Iterable[KnownFailure]) -> dict[int, dict[str, str]]:
    """Return the issue number of each known violation of the soak, by seed and rule."""
    issues: dict[int, dict[str, str]] = {}
    for failure in failures:
        if failure.is_soak:
            seed, rules = failure.soak_rules()
            issues.setdefault(seed, {}).update(dict.fromkeys(rules, failure.issue))
    return issues
