"""Runs a seed, in this process or a new one, and checks its records."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

from faults.checker import Checker
from faults.report import SeedReport, summarize
from faults.scenario import Scenario

SUBPROCESS_OVERHEAD_S = 120.0  # seconds allowed for start, shutdown and checks, beyond the time with faults


def run_and_check_seed(
    seed: int, folder: Path, fault_library: Path | None, seconds: float, fleet: bool = False
) -> SeedReport:
    """Run one seed in this process, check its records and return the report.

    An exception during the run becomes the report's `error`, and the records up to it are checked.
    """
    scenario = Scenario(seed, folder, fault_library, seconds, fleet)
    error = ""
    try:
        scenario.execute()
    except Exception as e:  # every failure of the run itself has to be reported
        error = f"{type(e).__name__}: {e}"
    finally:
        scenario.harness.close()
    violations = Checker(scenario.run, scenario.settings).check()
    report = summarize(seed, scenario.run, len(scenario.harness.proxies), violations)
    report.error = error
    return report


def run_seed_in_subprocess(seed: int, seconds: float, logs: Path | None, fleet: bool = False) -> SeedReport:
    """Run one seed in a new process and return its report, which holds an error if the process fails."""
    command = [sys.executable, "-m", "faults", "one", str(seed), "--seconds", str(seconds)]
    if logs is not None:
        command += ["--logs", str(logs)]
    if fleet:
        command += ["--fleet"]
    try:
        completed = subprocess.run(
            command, capture_output=True, text=True, timeout=seconds + SUBPROCESS_OVERHEAD_S
        )
        (fields,) = json.loads(completed.stdout)
        return SeedReport(**fields)
    except (subprocess.TimeoutExpired, ValueError) as e:
        return SeedReport(seed, 0, 0, {}, 0, {}, {}, 0, 0, [], f"{type(e).__name__}: {e}"[:300])
