"""Fixtures of the fault tests: real proxies among stub clients, engines and operators."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from faults import shim
from faults.checker import Checker
from faults.harness import Harness
from faults.records import AnswerCode
from faults.settings import make_settings

MakeHarness = NewHarness = Callable[..., Harness]
NO_COMPILER_REASON = "no C compiler for the preloaded fault library"


@pytest.fixture(scope="session")
def fault_library(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Build the preloaded fault library once; tests that need it are skipped without a C compiler."""
    if not shim.find_compiler():
        pytest.skip(NO_COMPILER_REASON)
    return shim.build(tmp_path_factory.mktemp("shim"))


@pytest.fixture
def new_harness(tmp_path: Path) -> Iterator[NewHarness]:
    """Provide a function that returns harnesses, not started, which are closed at the end of the test."""
    harnesses: list[Harness] = []

    def create(
        settings: dict[str, Any], engines: int, proxies: int = 1, fault_library: Path | None = None
    ) -> Harness:
        harness = Harness(tmp_path, fault_library, settings, 1, engines, proxies)
        harnesses.append(harness)
        return harness

    yield create
    for harness in harnesses:
        harness.close()


@pytest.fixture
def make_harness(new_harness: NewHarness, fault_library: Path) -> MakeHarness:
    """Provide a function that starts harnesses whose proxies have the fault library."""

    def start_harness(engines: int = 2, proxies: int = 1, **settings: float) -> Harness:
        harness = new_harness(make_settings(proxies=proxies, **settings), engines, proxies, fault_library)
        harness.start()
        return harness

    return start_harness


def violations(harness: Harness, *rules: str) -> list[str]:
    """Return the violations of the given rules, or of all rules, as texts."""
    found = Checker(harness.run, harness.settings).check()
    return [
        f"{violation.rule}: {violation.text}" for violation in found if not rules or violation.rule in rules
    ]


def answer_codes(harness: Harness) -> list[AnswerCode]:
    """Return the code of the first answer of each answered request."""
    return [request.answers[0].code for request in harness.run.requests if request.answers]
