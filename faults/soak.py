"""Plays seeds, each in a process of its own, and checks what was recorded."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

from faults.checker import Checker
from faults.report import SeedReport, summarize
from faults.scenario import Scenario

LIMIT_S = 120.0  # over the disturbed time, for start, end and checking


def play_seed(
    seed: int, folder: Path, library: Path | None, seconds: float, fleet: bool = False
) -> SeedReport:
    """Play one run and check it."""
    scenario = Scenario(seed, folder, library, seconds, fleet)
    error = ""
    try:
        scenario.play()
    except Exception as e:  # the run itself failed: reported like a break
        error = f"{type(e).__name__}: {e}"
    finally:
        scenario.lab.close()
    breaks = Checker(scenario.run, scenario.settings).check()
    report = summarize(seed, scenario.run, len(scenario.lab.proxies), breaks)
    report.error = error
    return report


def play_apart(seed: int, seconds: float, logs: Path | None, fleet: bool = False) -> SeedReport:
    """Play one run in a new process."""
    command = [sys.executable, "-m", "faults", "one", str(seed), "--seconds", str(seconds)]
    if logs is not None:
        command += ["--logs", str(logs)]
    if fleet:
        command += ["--fleet"]
    try:
        done = subprocess.run(command, capture_output=True, text=True, timeout=seconds + LIMIT_S)
        (raw,) = json.loads(done.stdout)
        return SeedReport(**raw)
    except (subprocess.TimeoutExpired, ValueError) as e:
        return SeedReport(seed, 0, 0, {}, 0, {}, {}, 0, 0, [], f"{type(e).__name__}: {e}"[:300])
