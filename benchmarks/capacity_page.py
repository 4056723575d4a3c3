"""Tables of docs/CAPACITY.md, rendered from the figures of a run."""

import re
from collections.abc import Callable, Sequence

from benchmarks.capacity_needs import Need
from benchmarks.capacity_records import list_event_needs
from benchmarks.capacity_rows import list_needs
from benchmarks.capacity_size import LIMITS, SIZE
from benchmarks.slopes_collect import TODAY_INSTANCES, TODAY_TARGETS, Results

__all__ = ["find_missed", "format_value", "render_page"]

_BLOCK = re.compile(r"(<!-- table: (\w+) -->\n).*?(<!-- end -->)", re.DOTALL)
_MORE_THAN_LINEAR = 1.2
_FLAT = 0.2
_CORES_FROM = 1.5
_TODAY_LIMITS = {
    "core": LIMITS.core_share,
    "B": float(LIMITS.memory_bytes),
    "B/s": float(LIMITS.bytes_a_second),
    "s": LIMITS.change_seconds,
}


def render_page(page: str, results: Results) -> str:
    """Return the page with every marked block rendered from the results."""
    tables: dict[str, Callable[[Results], list[str]]] = {
        "run": _render_run,
        "today": _render_today,
        "roles": lambda r: _render_needs(list_needs(r), r),
        "events": lambda r: _render_needs(list_event_needs(r), r),
        "missed": _render_missed,
        "growth": _render_growth,
        "slopes": _render_slopes,
    }

    def replace(match: re.Match[str]) -> str:
        lines = tables[match.group(2)](results)
        return match.group(1) + "\n".join(["", *lines, "", ""]) + match.group(3)

    return _BLOCK.sub(replace, page)


def format_value(value: float, unit: str) -> str:
    """Return a value with a prefix that suits its size."""
    if unit == "core" and value >= _CORES_FROM:
        return f"{value:.3g} cores"
    if unit == "core":
        return f"{value * 100:.3g}% of a core"
    if unit == "s":
        if value >= 1:
            return f"{value:.3g} s"
        return f"{value * 1e3:.3g} ms" if value >= 1e-3 else f"{value * 1e6:.3g} us"
    if unit.startswith("B"):
        for size, prefix in ((1e9, "G"), (1e6, "M"), (1e3, "k")):
            if abs(value) >= size:
                return f"{value / size:.3g} {prefix}{unit}"
        return f"{value:.3g} {unit}"
    return f"{value:,.0f} {unit}".rstrip() if value >= 100 else f"{value:.3g} {unit}"


def find_missed(results: Results) -> list[Need]:
    """Return the needs that pass their limit at the planned size as built."""
    needs = [*list_needs(results), *list_event_needs(results)]
    return [n for n in needs if n.limit is not None and n.value > n.limit]


def _verdict(value: float | None, limit: float | None) -> str:
    if value is None or limit is None:
        return ""
    return "holds" if value <= limit else f"**missed**, x{value / limit:.3g}"


def _render_run(results: Results) -> list[str]:
    return [
        f"Run of `make slopes` with seed {results.seed} on {results.cores} cores:"
        f" {results.seconds:.0f} s, load average {results.load_before} before and"
        f" {results.load_after} after."
    ]


def _render_today(results: Results) -> list[str]:
    protocol, idle = results.today.protocol, results.today.idle
    one, real = "in one process", "real processes"
    exchanged = protocol.bytes_sent + protocol.bytes_received
    control = idle.peer_bytes + idle.list_bytes + idle.log_bytes + idle.probe_bytes
    rows = (
        (one, "protocol, processor time", protocol.core_share, "core"),
        (one, "protocol, bytes before encryption", exchanged, "B/s"),
        (one, "protocol, state", protocol.state_bytes, "B"),
        (real, "all roles, processor time", idle.core_share, "core"),
        (real, "all roles, resident memory", idle.resident_bytes, "B"),
        (real, "all roles, bytes", control, "B/s"),
        (real, "of these: between instances", idle.peer_bytes, "B/s"),
        (real, "of these: load reports", idle.probe_bytes, "B/s"),
        (real, "of these: instance list", idle.list_bytes, "B/s"),
        (real, "of these: log", idle.log_bytes, "B/s"),
        (real, "change until applied everywhere", idle.change_seconds, "s"),
    )
    lines = _start_table("source", "need", "measured", "limit", "verdict")
    for source, name, value, unit in rows:
        limit = _TODAY_LIMITS[unit]
        lines.append(
            f"| {source} | {name} | {format_value(value, unit)} |"
            f" {format_value(limit, unit)} | {_verdict(value, limit)} |"
        )
    title = f"{TODAY_INSTANCES} instances and {TODAY_TARGETS} targets, idle:"
    return [title, "", *lines]


def _start_table(*titles: str) -> list[str]:
    return ["| " + " | ".join(titles) + " |", "|" + " --- |" * len(titles)]


def _render_needs(needs: Sequence[Need], results: Results) -> list[str]:
    lines = _start_table(
        "role",
        "need",
        f"as built, {SIZE.instances} instances",
        "limit",
        "verdict",
        f"in a cell of {SIZE.cell_instances}",
        "slope (error)",
        "mechanism",
    )
    for need in needs:
        limit = "" if need.limit is None else format_value(need.limit, need.unit)
        cells = (
            need.role,
            need.quantity,
            format_value(need.value, need.unit),
            limit,
            _verdict(need.value, need.limit),
            _describe_cell(need),
            _describe_slope(need.series, results),
            need.mechanism,
        )
        lines.append("| " + " | ".join(cells) + " |")
    return lines


def _describe_cell(need: Need) -> str:
    if need.cell is None:
        return ""
    verdict = _verdict(need.cell, need.limit)
    shown = format_value(need.cell, need.unit)
    return f"{shown}, {verdict}" if verdict else shown


def _describe_slope(name: str, results: Results) -> str:
    if not name:
        return ""
    item = results.measured[name]
    power = f"^{item.series.power}" if item.series.power > 1 else ""
    unit = f"{item.series.unit}/{item.series.x_name}{power}"
    return f"`{name}` {item.fit.slope:.3g} {unit} ({item.fit.error:.1%})"


def _render_missed(results: Results) -> list[str]:
    lines = []
    for need in find_missed(results):
        assert need.limit is not None
        factor = need.value / need.limit
        in_cell = ""
        if need.cell is not None:
            in_cell = f" In a cell of {SIZE.cell_instances}: {_describe_cell(need)}."
        mends = f" To be mended by: {need.mechanism}." if need.mechanism else ""
        lines.append(
            f"- {need.role}, {need.quantity}: {format_value(need.value, need.unit)}"
            f" against {format_value(need.limit, need.unit)}, {factor:.3g} times the"
            f" limit.{in_cell}{mends}"
        )
    return lines or ["No limit is missed."]


def _render_growth(results: Results) -> list[str]:
    lines = _start_table("series", "grows with", "exponent", "reading")
    for name, item in results.measured.items():
        exponent = item.fit.exponent
        reading = "in proportion or less"
        if exponent <= _FLAT:
            reading = "bounded"
        elif exponent > _MORE_THAN_LINEAR:
            reading = "**more than in proportion**"
        lines.append(
            f"| `{name}` | {item.series.x_name} | {exponent:.2f} | {reading} |"
        )
    return lines


def _render_slopes(results: Results) -> list[str]:
    lines = _start_table(
        "series", "what", "measured", "slope", "error", "at", "line gives", "source"
    )
    for name, item in results.measured.items():
        series, fit = item.series, item.fit
        points = ", ".join(f"{x:.4g}: {y:.4g}" for x, y in series.points)
        power = f"^{series.power}" if series.power > 1 else ""
        lines.append(
            f"| `{name}` | {series.title} ({series.unit or 'number'}) | {points} |"
            f" {fit.slope:.3g} per {series.x_name}{power} | {fit.error:.1%} |"
            f" {series.at:.5g} | {format_value(fit.extrapolated, series.unit)} |"
            f" {series.source} |"
        )
    return lines
