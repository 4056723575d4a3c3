"""Tests of the arithmetic behind ``make measure``."""

import os
import unittest

from benchmarks.measure_engine import SENT_MARK, format_event
from benchmarks.measure_load import create_histogram
from benchmarks.measure_report import Phase, compare, split_parts
from benchmarks.process_usage import Usage, read_usage
from benchmarks.sampled_entry import classify_file
from carobladder.retries import StreamTracker


def _phase(chunk_ns: int, first_ns: int, **fields: object) -> Phase:
    chunks, firsts = create_histogram(), create_histogram()
    chunks.record_value(chunk_ns)
    firsts.record_value(first_ns)
    values = {
        "streams": 100,
        "chunk_ns": chunks,
        "first_ns": firsts,
        "chunks": 1000,
        "probe_chunks": 1000,
        "probes": 100,
        "failures": 0,
        "busiest_loader": 0.1,
        "busiest_engine": 0.1,
    }
    return Phase(**{**values, **fields})


class ComparisonTest(unittest.TestCase):
    """Test what is attributed to the instance."""

    def test_costs_hold_neither_idle_work_nor_each_other(self) -> None:
        """Guard against heartbeats or chunks being counted as cost of a request."""
        relayed = _phase(
            3_000_000,
            5_000_000,
            chunk_usage=Usage(0.35, 0, 0, 0),
            probe_usage=Usage(0.45, 0, 0, 60 * 2**20),
        )
        result = compare(_phase(1_000_000, 2_000_000), relayed, idle_share=0.05)
        self.assertAlmostEqual(result.chunk_cpu_us, 100.0)
        self.assertAlmostEqual(result.request_cpu_us, 1000.0)
        self.assertAlmostEqual(result.chunk_p95_ms, 2.0, delta=0.01)
        self.assertAlmostEqual(result.request_p50_ms, 3.0, delta=0.01)
        self.assertAlmostEqual(result.resident_mb, 60.0)

    def test_cost_of_a_request_below_the_noise(self) -> None:
        """Guard against a cost that is printed although it cannot be resolved."""
        relayed = _phase(
            1,
            1,
            chunks=100_000,
            probe_chunks=100_000,
            chunk_usage=Usage(4.0, 0, 0, 0),
            probe_usage=Usage(3.95, 0, 0, 0),
        )
        result = compare(_phase(1, 1), relayed, idle_share=0.0)
        self.assertLess(result.request_cpu_us, result.request_noise_us)
        self.assertAlmostEqual(result.request_noise_us, 2000.0)

    def test_kernel_time_is_not_counted_twice(self) -> None:
        """Guard against shares that add up to more than the whole."""
        counts = {"event loop": 50, "h11": 40, "carobladder": 10, "h11: a.py:f": 40}
        shares = split_parts(counts, Usage(1.0, 0.7, 0.3, 0))
        parts = [share for name, share in shares.items() if ": " not in name]
        self.assertAlmostEqual(sum(parts), 1.0)
        self.assertAlmostEqual(shares["kernel"], 0.3)
        self.assertAlmostEqual(shares["event loop"], 0.2)


class HelperTest(unittest.TestCase):
    """Test the helpers of the measurement."""

    def test_library_in_a_clone_named_like_the_package(self) -> None:
        """Guard against h11 counting as own code in a clone named carobladder."""
        path = "/src/carobladder/.venv/lib/python3.11/site-packages/h11/_state.py"
        self.assertEqual(classify_file(path), "h11")
        self.assertEqual(classify_file("/x/carobladder/cli.py"), "carobladder")

    def test_event_is_relayed_and_keeps_its_time(self) -> None:
        """Guard against events that the instance would not relay as they are."""
        event = format_event(0, 123456789)
        self.assertEqual(StreamTracker().feed(event), event)
        self.assertIn(SENT_MARK + b"123456789}", event)

    def test_usage_of_this_process(self) -> None:
        """Guard against reading the clock of another process."""
        usage = read_usage(os.getpid())
        split = usage.user_seconds + usage.kernel_seconds
        self.assertAlmostEqual(usage.cpu_seconds, split, delta=0.2)
        self.assertGreater(usage.resident_bytes, 1 << 20)
