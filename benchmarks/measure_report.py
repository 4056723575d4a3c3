"""Figures of one measurement and how they are printed."""

from collections.abc import Sequence
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from benchmarks.process_usage import Usage

__all__ = [
    "GAP_MS",
    "WINDOW_SECONDS",
    "Comparison",
    "Phase",
    "compare",
    "describe_target",
    "print_comparison",
    "print_helpers",
    "print_parts",
    "split_parts",
]

# Section 1.6 of the design page allows 31 ms between tokens.
GAP_MS = 31.0
WINDOW_SECONDS = 5.0
# Above this share of a core a helper process may add waiting of its own.
HELPER_LIMIT = 0.8
TARGET_SHARE = 0.5
_LEAST_CHUNK_SHARE = 0.95
# The cost of a chunk differs by about this much between windows on a busy machine,
# which bounds what a difference of two windows can show.
CHUNK_NOISE = 0.05


@dataclass(frozen=True, slots=True)
class Phase:
    """Hold the figures of one way at one number of streams.

    ``chunk_usage`` and ``probe_usage`` are those of the instance in the windows
    without and with short requests; None on the direct way. ``busiest_helper`` is
    the greatest share of a core that a load generator or engine used.
    """

    streams: int
    chunk_ns: HdrHistogram
    first_ns: HdrHistogram
    chunks: int
    probe_chunks: int
    probes: int
    failures: int
    busiest_loader: float
    busiest_engine: float
    chunk_usage: Usage | None = None
    probe_usage: Usage | None = None


@dataclass(frozen=True, slots=True)
class Comparison:
    """State what the instance adds and uses; times in milliseconds."""

    streams: int
    chunk_p50_ms: float
    chunk_p95_ms: float
    request_p50_ms: float
    request_p95_ms: float
    direct_chunk_p95_ms: float
    chunk_cpu_us: float
    request_cpu_us: float
    request_noise_us: float
    core_share: float
    resident_mb: float


def compare(direct: Phase, relayed: Phase, idle_share: float) -> Comparison:
    """Return what the relayed way adds to the direct one.

    The idle share of a core is taken off, so that the cost of a chunk and of a
    request holds no heartbeats and probes.
    """
    assert relayed.chunk_usage is not None and relayed.probe_usage is not None
    idle_seconds = idle_share * WINDOW_SECONDS
    chunk_cpu = (relayed.chunk_usage.cpu_seconds - idle_seconds) / relayed.chunks
    request_cpu = (
        relayed.probe_usage.cpu_seconds
        - idle_seconds
        - chunk_cpu * relayed.probe_chunks
    ) / relayed.probes
    return Comparison(
        streams=relayed.streams,
        chunk_p50_ms=_added_ms(direct.chunk_ns, relayed.chunk_ns, 50),
        chunk_p95_ms=_added_ms(direct.chunk_ns, relayed.chunk_ns, 95),
        request_p50_ms=_added_ms(direct.first_ns, relayed.first_ns, 50),
        request_p95_ms=_added_ms(direct.first_ns, relayed.first_ns, 95),
        direct_chunk_p95_ms=direct.chunk_ns.get_value_at_percentile(95) / 1e6,
        chunk_cpu_us=chunk_cpu * 1e6,
        request_cpu_us=request_cpu * 1e6,
        request_noise_us=CHUNK_NOISE
        * chunk_cpu
        * relayed.probe_chunks
        / relayed.probes
        * 1e6,
        core_share=relayed.chunk_usage.cpu_seconds / WINDOW_SECONDS,
        resident_mb=relayed.probe_usage.resident_bytes / 2**20,
    )


def _added_ms(direct: HdrHistogram, relayed: HdrHistogram, percentile: int) -> float:
    difference = relayed.get_value_at_percentile(
        percentile
    ) - direct.get_value_at_percentile(percentile)
    return difference / 1e6


def split_parts(counts: dict[str, int], usage: Usage) -> dict[str, float]:
    """Return the shares of kernel, h11, event loop, libraries and carobladder."""
    total = sum(count for name, count in counts.items() if ": " not in name)
    kernel = usage.kernel_seconds / (usage.user_seconds + usage.kernel_seconds)
    shares = {name: count / total for name, count in counts.items() if ": " not in name}
    shares["event loop"] = max(0.0, shares.get("event loop", 0.0) - kernel)
    functions = {n: c / total for n, c in counts.items() if ": " in n}
    top = sorted(functions.items(), key=lambda item: -item[1])[:16]
    return {"kernel": kernel, **shares, **dict(top)}


def print_comparison(comparisons: Sequence[Comparison], idle: float) -> None:
    """Print the table of all numbers of streams."""
    print(f"instance without load: {idle:.1%} of a core")
    print("added by the instance; latencies in ms, processor time in us")
    print(
        "streams  chunk p50   p95  request p50   p95  cpu/chunk  cpu/request"
        "  core  memory MB"
    )
    for item in comparisons:
        print(
            f"{item.streams:7}  {item.chunk_p50_ms:9.2f} {item.chunk_p95_ms:5.2f}"
            f"  {item.request_p50_ms:11.2f} {item.request_p95_ms:5.2f}"
            f"  {item.chunk_cpu_us:9.1f}  {_describe_request_cpu(item):>11}"
            f"  {item.core_share:4.0%}  {item.resident_mb:9.1f}"
        )


def _describe_request_cpu(item: Comparison) -> str:
    if item.request_cpu_us < item.request_noise_us:
        return f"< {item.request_noise_us:.0f}"
    return f"{item.request_cpu_us:.0f}"


def print_helpers(phases: Sequence[tuple[Phase, Phase]]) -> bool:
    """Print the share of the helper processes; tell whether they kept up."""
    good = True
    for pair in phases:
        for way, phase in zip(("direct", "relayed"), pair, strict=True):
            expected = phase.streams * WINDOW_SECONDS / (GAP_MS / 1000)
            share = phase.chunks / expected
            busiest = max(phase.busiest_loader, phase.busiest_engine)
            kept_up = share >= _LEAST_CHUNK_SHARE and busiest <= HELPER_LIMIT
            good = good and kept_up and not phase.failures
            print(
                f"{phase.streams:4} streams {way:7}: {phase.chunks} chunks"
                f" ({share:.0%} of the pace), {phase.probes} short requests,"
                f" {phase.failures} failures; busiest load generator"
                f" {phase.busiest_loader:.0%}, engine {phase.busiest_engine:.0%}"
                f" of a core{'' if kept_up else ' - NOT KEPT UP'}"
            )
    return good


def print_parts(shares: dict[str, float], streams: int) -> None:
    """Print where the processor time of the instance goes."""
    print(f"processor time of the instance at {streams} streams, sampled:")
    for name, share in shares.items():
        print(f"  {share:6.1%}  {name}")
    print(
        describe_target(
            "h11 and kernel in a relayed chunk",
            shares["kernel"] + shares.get("h11", 0.0),
            shares["kernel"] + shares.get("h11", 0.0) >= TARGET_SHARE,
            f"at least {TARGET_SHARE:.0%}",
            "{:.0%}",
        )
    )


def describe_target(name: str, value: float, met: bool, target: str, form: str) -> str:
    """Return the line that says whether a target was met."""
    verdict = "met" if met else "MISSED"
    return f"target {verdict}: {name} {form.format(value)}, {target}"
