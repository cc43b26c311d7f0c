"""The command line of the fault tests: `python -m faults soak --seeds 50`."""

from __future__ import annotations

import shutil
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Annotated

import typer

from faults import shim
from faults.fleet_costs import Fleet, measure
from faults.fleet_costs import as_table as as_cost_table
from faults.known_failures import known_soak_issues, read_known_failures
from faults.report import SeedReport, Verdict, as_json, as_table
from faults.soak import run_and_check_seed, run_seed_in_subprocess

app = typer.Typer(add_completion=False, help=__doc__)


@app.command()
def soak(
    first: Annotated[int, typer.Option(help="The first seed.")] = 1,
    seeds: Annotated[int, typer.Option(help="How many seeds to run.")] = 10,
    seconds: Annotated[float, typer.Option(help="How long faults are injected in each run.")] = 10.0,
    jobs: Annotated[int, typer.Option(help="How many runs go in parallel, each in its own process.")] = 1,
    json_file: Annotated[Path | None, typer.Option(help="Where to write the report as JSON.")] = None,
    logs: Annotated[Path | None, typer.Option(help="Where to keep the proxies' logs.")] = None,
    fleet: Annotated[bool, typer.Option(help="10 to 40 proxies in each run, instead of 1 to 6.")] = False,
    known_red: Annotated[bool, typer.Option(help="Known failures count as failures too.")] = False,
) -> None:
    """Make one random run for each seed; exit with status 1 if any run fails.

    A run fails if it violates a rule, raises an error, or has no faults or no orders. Violations that
    KNOWN-RED.txt lists for a seed are printed, but decide the exit status only with --known-red. The entries
    of the list hold for runs without --fleet.
    """
    known_issues = {} if known_red or fleet else known_soak_issues(read_known_failures())
    seed_numbers = range(first, first + seeds)
    with ThreadPoolExecutor(jobs) as pool:
        reports = list(
            pool.map(lambda seed: run_seed_in_subprocess(seed, seconds, logs, fleet), seed_numbers)
        )
    if json_file is not None:
        json_file.write_text(as_json(reports))
    typer.echo(as_table(reports, known_issues))
    raise typer.Exit(int(any(report.verdict(known_issues) is Verdict.FAILED for report in reports)))


@app.command()
def one(
    seed: int,
    seconds: Annotated[float, typer.Option(help="How long faults are injected.")] = 10.0,
    logs: Annotated[Path | None, typer.Option(help="Where to keep the proxies' logs.")] = None,
    fleet: Annotated[bool, typer.Option(help="10 to 40 proxies, instead of 1 to 6.")] = False,
) -> None:
    """Run one seed in this process and print its report as JSON."""
    typer.echo(as_json([run_seed(seed, seconds, logs, fleet)]))


@app.command()
def costs(
    engines: Annotated[list[int], typer.Option(help="Numbers of engines.")] = [80, 800, 3200],  # noqa: B006
    proxies: Annotated[int, typer.Option(help="Number of proxies that share them.")] = 200,
    cores: Annotated[float, typer.Option(help="Cores of all engines together.")] = 3200.0,
) -> None:
    """Print the processor time that a proxy takes for each kind of event, by the number of engines."""
    fleets = [Fleet(count, proxies, cores / count) for count in engines]
    typer.echo(as_cost_table([(fleet, measure(fleet)) for fleet in fleets]))


def run_seed(seed: int, seconds: float, logs: Path | None, fleet: bool = False) -> SeedReport:
    """Build the fault library, run one seed and return its report.

    The proxies' logs are copied to a folder below `logs`, unless it is None.
    """
    with tempfile.TemporaryDirectory() as folder_name:
        folder = Path(folder_name)
        report = run_and_check_seed(seed, folder, shim.build(folder), seconds, fleet)
        if logs is not None:
            log_folder = logs / f"seed-{seed}"
            log_folder.mkdir(parents=True, exist_ok=True)
            for path in folder.glob("*.log"):
                shutil.copy(path, log_folder)
    return report


if __name__ == "__main__":
    app()
