"""Real proxies among stand-ins, for the tests of faults."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from faults import shim
from faults.checker import Checker
from faults.lab import Lab
from faults.records import Code
from faults.settings import make_settings

MakeLab = Callable[..., Lab]
NO_COMPILER = "no C compiler for the preloaded fault library"


@pytest.fixture(scope="session")
def library(tmp_path_factory: pytest.TempPathFactory) -> Path:
    if not shim.compiler():
        pytest.skip(NO_COMPILER)
    return shim.build(tmp_path_factory.mktemp("shim"))


@pytest.fixture
def make_lab(tmp_path: Path, library: Path) -> Iterator[MakeLab]:
    labs: list[Lab] = []

    def make(servers: int = 2, proxies: int = 1, **settings: float) -> Lab:
        lab = Lab(tmp_path, library, make_settings(proxies=proxies, **settings), 1, servers, proxies)
        labs.append(lab)
        lab.start()
        return lab

    yield make
    for lab in labs:
        lab.close()


def broken(lab: Lab, *rules: str) -> list[str]:
    breaks = Checker(lab.run, lab.settings).check()
    return [f"{b.rule}: {b.text}" for b in breaks if not rules or b.rule in rules]


def answered(lab: Lab) -> list[Code]:
    return [request.answers[0].code for request in lab.run.requests if request.answers]
