"""Tests of the exchange of evidence and of moves for maintenance windows."""

import unittest
from datetime import timedelta

from carobladder.clock import VirtualClock
from carobladder.gateway.ports import TargetOutcome
from carobladder.instance.evidence import Comparison, EvidenceCollector
from carobladder.instance.movemonitor import MoveMonitor
from carobladder.instance.windows import plan_window_moves
from carobladder.moves.evidence import Verdict
from carobladder.peers import EvidenceItem
from carobladder.peers.messages import Heartbeat, encode_message
from carobladder.resources import Catalog, Change, MoveStep
from carobladder.targets import RequestClass, TargetState

COMPARISON = Comparison("mv", "v1", "v2", "m")
MAX_HEARTBEAT_BYTES = 4096


def make_outcome(version: str, failed: bool = False) -> TargetOutcome:
    """Return the outcome of one request to a target of a version."""
    target = TargetState("t", "m", version, "dc", "127.0.0.1:1")
    return TargetOutcome(target, "m", "stream", RequestClass.QUICK, failed)


def make_collector(name: str, collector_class=EvidenceCollector) -> EvidenceCollector:
    """Return a collector with one running move."""
    collector = collector_class(name, 1)
    collector.set_comparisons([COMPARISON], 0.0)
    return collector


class SummingCollector(EvidenceCollector):
    """Faulty variant that adds up totals as if they were increments."""

    def merge_items(self, sender, items):
        """Merge each item as if it came from a separate run."""
        for item in items:
            fields = {name: getattr(item, name) for name in item.__struct_fields__}
            self._sequence += 1
            fields["run"] = self._sequence
            super().merge_items(sender, [EvidenceItem(**fields)])


def merge_with_faults(collector_class: type[EvidenceCollector]) -> int:
    """Return the merged number of requests after lost, repeated and reordered items."""
    sender, receiver = make_collector("a"), make_collector("b", collector_class)
    sent = []
    for _ in range(6):
        sender.note_outcome(make_outcome("v2"))
        sent.append(sender.list_items(0.0))
    for number in (3, 1, 5, 5, 0):
        receiver.merge_items("a", sent[number])
    return receiver.count_requests("mv", "v2")


class EvidenceTest(unittest.TestCase):
    """Guard against evidence that is lost, counted twice or too large to send."""

    def test_totals_survive_lost_repeated_and_reordered_items(self):
        self.assertEqual(merge_with_faults(EvidenceCollector), 6)

    def test_totals_check_detects_a_collector_that_sums_totals(self):
        self.assertNotEqual(merge_with_faults(SummingCollector), 6)

    def test_lost_totals_are_sent_again_without_new_requests(self):
        sender, receiver = make_collector("a"), make_collector("b")
        sender.note_outcome(make_outcome("v2"))
        sender.list_items(0.0)
        self.assertEqual(sender.list_items(1.0), [])
        receiver.merge_items("a", sender.list_items(6.0))
        self.assertEqual(receiver.count_requests("mv", "v2"), 1)

    def test_nothing_is_counted_or_sent_without_a_running_move(self):
        collector = EvidenceCollector("a", 1)
        collector.note_outcome(make_outcome("v2"))
        self.assertEqual(collector.list_items(0.0), [])
        receiver = EvidenceCollector("b", 1)
        receiver.merge_items("a", [EvidenceItem("x", "v2", "r", "quick", *[1] * 6)])
        self.assertEqual(receiver.count_requests("x", "v2"), 0)

    def test_heartbeats_with_evidence_of_many_moves_are_bounded(self):
        collector = EvidenceCollector("a" * 63, 2**42)
        moves = [Comparison(f"{n:063}", "v1", "v2", "m") for n in range(20)]
        collector.set_comparisons(moves, 0.0)
        for version in ("v1", "v2"):
            collector.note_outcome(make_outcome(version))
        sent = set()
        for _ in range(3):
            items = collector.list_items(0.0)
            sent |= {(item.move_id, item.arm) for item in items}
            heartbeat = Heartbeat("a" * 63, 2**42, 1, 1, 1, 1, True, [], items)
            self.assertLess(len(encode_message(heartbeat)), MAX_HEARTBEAT_BYTES)
        self.assertEqual(len(sent), 40)


class VerdictIgnoringMonitor(MoveMonitor):
    """Faulty variant that always uses the declared shares."""

    def adjust_shares(self, model, shares):
        """Return the declared shares."""
        return shares


class ConfiguredMove:
    """Catalog with a version move at its first step."""

    def __init__(self, clock: VirtualClock) -> None:
        self.catalog = Catalog()
        at = clock.now().timestamp()
        model = {"versions": ["v1", "v2"], "shares": {"v1": 1.0}}
        spec = {"model": "m", "from": "v1", "to": "v2", "finish_by": at + 1e5}
        self.put("model", "m", model, at)
        revision = self.put("version-move", "mv", spec, at)
        for state in ("loading", "warming", "stepping"):
            offset = self.catalog.applied_offset + 1
            step = MoveStep(
                f"s{offset}", "d", at, "version-move", "mv", revision, state
            )
            assert self.catalog.apply(offset, step).accepted
            revision = offset

    def put(self, kind, name, spec, at):
        """Apply a change and return its offset."""
        offset = self.catalog.applied_offset + 1
        change = Change(f"c{offset}", "op", at, "put", kind, name, spec)
        assert self.catalog.apply(offset, change).accepted
        return offset


class EffectiveShareTest(unittest.TestCase):
    """Guard against a faulty version that stays in use until the log is available."""

    def run_monitor(self, failed: bool, monitor_class: type[MoveMonitor] = MoveMonitor):
        """Return the verdict and the shares in use after three minutes."""
        clock = VirtualClock()
        move = ConfiguredMove(clock)
        collector = EvidenceCollector("a", 1)
        monitor = monitor_class(move.catalog, collector, lambda items: None, clock)
        for _ in range(60):
            monitor.update()
            for number in range(60):
                collector.note_outcome(make_outcome("v1"))
                if number % 20 == 0:
                    collector.note_outcome(make_outcome("v2", failed))
            clock.advance(3.0)
        declared = {"v2": 0.0025, "v1": 0.9975}
        return monitor.find_verdict("mv"), monitor.adjust_shares("m", declared)

    def test_an_instance_stops_a_faulty_version_without_the_log(self):
        verdict, shares = self.run_monitor(failed=True)
        self.assertEqual((verdict, shares), (Verdict.FAULT, {"v2": 0.0, "v1": 1.0}))

    def test_share_check_detects_a_monitor_that_ignores_the_verdict(self):
        _, shares = self.run_monitor(failed=True, monitor_class=VerdictIgnoringMonitor)
        self.assertGreater(shares["v2"], 0)

    def test_a_good_version_keeps_its_share(self):
        verdict, shares = self.run_monitor(failed=False)
        self.assertEqual(verdict, Verdict.CLEAR)
        self.assertEqual(shares, {"v2": 0.0025, "v1": 0.9975})


class WindowTest(unittest.TestCase):
    """Guard against a window that starts while its data centre still serves."""

    def test_moves_for_a_window_are_planned_in_time_and_once(self):
        clock = VirtualClock()
        move = ConfiguredMove(clock)
        start = clock.now() + timedelta(hours=1)
        window = {
            "start": start.isoformat(),
            "end": (start + timedelta(hours=1)).isoformat(),
        }
        spec = {"region": "r", "windows": [window]}
        move.put("data-centre", "dc", spec, 0.0)
        self.assertEqual(plan_window_moves(move.catalog, clock.now()), [])
        due = start - timedelta(minutes=15)
        (leave,) = plan_window_moves(move.catalog, due)
        self.assertEqual((leave.spec.direction, leave.spec.finish_by), ("leave", start))
        plain = leave.spec.to_plain()
        revision = move.put("data-centre-move", leave.name, plain, due.timestamp())
        self.assertEqual(plan_window_moves(move.catalog, due), [])
        after = start + timedelta(hours=1)
        # No return is planned for a data centre that never became empty.
        self.assertEqual(plan_window_moves(move.catalog, after), [])
        for state in ("leaving", "empty"):
            offset = move.catalog.applied_offset + 1
            step = MoveStep(
                f"s{offset}",
                "d",
                due.timestamp(),
                "data-centre-move",
                leave.name,
                revision,
                state,
            )
            self.assertTrue(move.catalog.apply(offset, step).accepted)
            revision = offset
        (back,) = plan_window_moves(move.catalog, after)
        self.assertEqual(back.spec.direction, "return")
