"""The command line of the fault tests: `python -m faults soak --seeds 50`."""

from __future__ import annotations

import shutil
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Annotated

import typer

from faults import shim
from faults.report import SeedReport, as_json, as_table
from faults.soak import play_apart, play_seed

app = typer.Typer(add_completion=False, help=__doc__)


@app.command()
def soak(
    first: Annotated[int, typer.Option(help="The first seed.")] = 1,
    seeds: Annotated[int, typer.Option(help="How many seeds to play.")] = 10,
    seconds: Annotated[float, typer.Option(help="How long each is disturbed.")] = 10.0,
    jobs: Annotated[int, typer.Option(help="Runs side by side, each a process of its own.")] = 1,
    json_file: Annotated[Path | None, typer.Option(help="Where to write the report as JSON.")] = None,
    logs: Annotated[Path | None, typer.Option(help="Where to keep the proxies' logs of failed runs.")] = None,
    fleet: Annotated[bool, typer.Option(help="10 to 40 proxies in each run, instead of 1 to 6.")] = False,
) -> None:
    """Play runs drawn from seeds; exit with 1 if any breaks a rule."""
    numbers = range(first, first + seeds)
    with ThreadPoolExecutor(jobs) as pool:
        reports = list(pool.map(lambda seed: play_apart(seed, seconds, logs, fleet), numbers))
    if json_file is not None:
        json_file.write_text(as_json(reports))
    typer.echo(as_table(reports))
    raise typer.Exit(int(any(report.failed for report in reports)))


@app.command()
def one(
    seed: int,
    seconds: Annotated[float, typer.Option(help="How long the run is disturbed.")] = 10.0,
    logs: Annotated[Path | None, typer.Option(help="Where to keep the proxies' logs.")] = None,
    fleet: Annotated[bool, typer.Option(help="10 to 40 proxies, instead of 1 to 6.")] = False,
) -> None:
    """Play one seed in this process and print its report as JSON."""
    typer.echo(as_json([play(seed, seconds, logs, fleet)]))


def play(seed: int, seconds: float, logs: Path | None, fleet: bool = False) -> SeedReport:
    """Build the fault library, play one seed, keep its logs if asked to."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        report = play_seed(seed, folder, shim.build(folder), seconds, fleet)
        if logs is not None:
            target = logs / f"seed-{seed}"
            target.mkdir(parents=True, exist_ok=True)
            for path in folder.glob("*.log"):
                shutil.copy(path, target)
    return report


if __name__ == "__main__":
    app()
