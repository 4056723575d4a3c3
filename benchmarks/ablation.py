"""Play days with one mechanism after another replaced by the plainest thing.

The replacement is made in a scratch copy of the repository; nothing of it is in the
program. ``python -m benchmarks.ablation --help`` lists the arguments.
"""

import argparse
import json
import shutil
import statistics
import subprocess
import tomllib
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

__all__ = ["Ablation", "Play", "Result", "apply_ablation", "load_ablations"]

_ROOT = Path(__file__).resolve().parents[1]
_UNCHANGED = "as it is"
_ABLATIONS_FILE = Path(__file__).with_name("ablations.toml")


@dataclass(frozen=True, slots=True)
class Ablation:
    """Replace one passage of a source file."""

    name: str
    file: str
    find: str
    replace: str


@dataclass(frozen=True, slots=True)
class Play:
    """Name one play of a day; seed 0 is the day's own."""

    ablation: str
    site: Path
    day: str
    seed: int


@dataclass(frozen=True, slots=True)
class Result:
    """Carry the worth of a play, or None if it was given up, and the broken rules."""

    play: Play
    worth: float | None
    broken: tuple[str, ...]


def load_ablations(path: Path = _ABLATIONS_FILE) -> dict[str, Ablation]:
    """Return the ablations of a file by name."""
    tables = tomllib.loads(path.read_text(encoding="utf-8"))
    return {name: Ablation(name, **table) for name, table in tables.items()}


def apply_ablation(ablation: Ablation, root: Path) -> None:
    """Make the replacement; raises ValueError unless its passage stands once."""
    path = root / ablation.file
    text = path.read_text(encoding="utf-8")
    if text.count(ablation.find) != 1:
        raise ValueError(f"{ablation.name}: its passage is not once in {path}")
    path.write_text(text.replace(ablation.find, ablation.replace), encoding="utf-8")


def main() -> None:
    """Play the chosen ablations and print a table."""
    arguments = _parse_arguments()
    ablations = load_ablations()
    names = arguments.only or list(ablations)
    copies = {_UNCHANGED: _copy_repository(arguments.scratch / "unchanged")}
    for name in names:
        copies[name] = _copy_repository(arguments.scratch / name)
        apply_ablation(ablations[name], copies[name])
    plays = [
        Play(name, site, day, seed)
        for seed in arguments.seeds
        for site in arguments.sites
        for day in arguments.days
        for name in copies
    ]
    with ThreadPoolExecutor(arguments.jobs) as pool:
        results = list(
            pool.map(lambda play: _run(play, copies, arguments.bench), plays)
        )
    print(_render(results, list(copies)))


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", type=Path, required=True, help="the bench program")
    parser.add_argument("--scratch", type=Path, required=True, help="folder of copies")
    parser.add_argument("--sites", type=Path, nargs="+", required=True)
    parser.add_argument("--days", nargs="+", required=True)
    parser.add_argument("--seeds", type=int, nargs="+", default=[0, 11])
    parser.add_argument("--only", nargs="+", help="names of ablations")
    parser.add_argument("--jobs", type=int, default=3, help="plays at a time")
    return parser.parse_args()


def _copy_repository(folder: Path) -> Path:
    """Return a copy of the repository with its installed libraries."""
    shutil.rmtree(folder, ignore_errors=True)
    subprocess.run(["git", "clone", "--quiet", _ROOT, folder], check=True)
    if (_ROOT / "target").exists():
        shutil.copytree(_ROOT / "target", folder / "target")
    return folder


def _run(play: Play, copies: dict[str, Path], bench: Path) -> Result:
    report = copies[play.ablation] / f"{play.site.stem}-{play.day}-{play.seed}.report"
    command = [bench.resolve(), "run", play.site.resolve(), play.day]
    command += ["--report", report, "--why", f"ablation (trial): {play.ablation}"]
    if play.seed:
        command += ["--seed", str(play.seed)]
    subprocess.run(
        [str(word) for word in command],
        cwd=copies[play.ablation],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.STDOUT,
        check=False,
    )
    if not report.exists():
        return Result(play, None, ())
    document = json.loads(report.read_text(encoding="utf-8"))
    return Result(play, document["G"], tuple(document["breaks"]))


def _render(results: Iterable[Result], names: list[str]) -> str:
    """Return a table: a row a mechanism, a column a site, and the broken rules."""
    known = list(results)
    sites = list(dict.fromkeys(result.play.site for result in known))
    lines = ["| mechanism | " + " | ".join(site.stem for site in sites) + " | broken |"]
    lines.append("| --- " * (len(sites) + 2) + "|")
    for name in names:
        own = [result for result in known if result.play.ablation == name]
        cells = [_describe([r for r in own if r.play.site == site]) for site in sites]
        broken = sorted({rule for result in own for rule in result.broken})
        lines.append(
            f"| {name} | {' | '.join(cells)} | {', '.join(broken) or 'none'} |"
        )
    return "\n".join(lines)


def _describe(results: list[Result]) -> str:
    """Return the mean worth of plays, their standard deviation and their number."""
    worths = [result.worth for result in results if result.worth is not None]
    if not worths:
        return "not played"
    spread = statistics.pstdev(worths)
    return f"{statistics.mean(worths):.3f} ({spread:.3f}, {len(worths)} plays)"


if __name__ == "__main__":
    main()
