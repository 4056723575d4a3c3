"""Table of one deployment's run."""

from demo.tally import KindTally, RunTally, count_doubled

__all__ = ["format_report"]

_KIND_WIDTH = 20
_WIDTHS = (9, 7, 8, 9, 7, 10, 10)


def format_report(title: str, tally: RunTally, seconds: float) -> str:
    """Return the table and the figures of the whole deployment."""
    names = ("requests", "whole", "retries", "refusals", "reuse", "p50 ms", "p95 ms")
    lines = [f"deployment {title}: {seconds:.1f} s", _format_row("kind", names)]
    lines += [_format_kind(name, kind) for name, kind in tally.kinds.items()]
    lines.append(_format_kind("total", _sum_kinds(tally)))
    doubled = count_doubled(tally.effects)
    lines.append(
        f"load skew (greatest/mean of engines, slots): mean {tally.load.mean:.2f}, "
        f"peak {tally.load.peak:.2f}; {tally.load.over_bound} of "
        f"{len(tally.load.ratios)} samples over 1.25 x mean + one request"
    )
    lines.append(
        f"bookings: {len(tally.wanted)} ordered, {len(tally.effects)} run, "
        f"{doubled} doubled, {tally.reordered} ordered again after an unknown outcome"
    )
    lines.append(
        f"requests that arrived over a cold engine's limit: {tally.cold_excess}"
    )
    return "\n".join(lines)


def _format_row(name: str, cells: tuple[str, ...]) -> str:
    padded = [cell.rjust(width) for cell, width in zip(cells, _WIDTHS, strict=True)]
    return name.ljust(_KIND_WIDTH) + "".join(padded)


def _format_kind(name: str, tally: KindTally) -> str:
    has_tokens = tally.prompt_tokens > 0
    timed = bool(tally.first_token_seconds)
    cells = (
        str(tally.requests),
        str(tally.whole),
        str(tally.retries),
        str(tally.refusals),
        f"{tally.reuse:.0%}" if has_tokens else "-",
        f"{tally.first_token_ms(0.5):.0f}" if timed else "-",
        f"{tally.first_token_ms(0.95):.0f}" if timed else "-",
    )
    return _format_row(name, cells)


def _sum_kinds(tally: RunTally) -> KindTally:
    total = KindTally()
    for kind in tally.kinds.values():
        total.requests += kind.requests
        total.whole += kind.whole
        total.retries += kind.retries
        total.refusals += kind.refusals
        total.prompt_tokens += kind.prompt_tokens
        total.cached_tokens += kind.cached_tokens
        total.first_token_seconds += kind.first_token_seconds
    return total
