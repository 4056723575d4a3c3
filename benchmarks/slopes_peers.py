"""Cost of the protocol between instances, by the number of instances.

One real coordinator with its codec; the messages of its peers are built from
what it sends, so that no other coordinator runs.
"""

import time
import tracemalloc
from dataclasses import dataclass

from benchmarks.capacity_size import SIZE
from carobladder.limits.admission import Demand
from carobladder.limits.declarations import TargetDeclaration, TargetLoadReport
from carobladder.membership import ListedInstance, OwnerMap
from carobladder.peers import (
    AllowanceItem,
    Allowances,
    Coordinator,
    Heartbeat,
    Outgoing,
    SlotReport,
    Timing,
    decode_message,
    encode_message,
)
from carobladder.peers.links import SENT_HISTORY_LENGTH
from carobladder.targets import TargetState

__all__ = ["PeerCost", "ViewCost", "measure_peers", "measure_view_change"]

_OWN = "entry-0000"
_ROUNDS = 3
_WARMUP_ROUNDS = 3


@dataclass(frozen=True, slots=True)
class PeerCost:
    """State the cost of one heartbeat interval, scaled to a second.

    ``state_bytes`` is what the coordinator allocated since its start.
    """

    core_share: float
    bytes_sent: float
    bytes_received: float
    messages: float
    state_bytes: float


@dataclass(frozen=True, slots=True)
class ViewCost:
    """State the processor seconds for one change of the view."""

    leave_seconds: float
    join_seconds: float


def declare(count: int) -> list[TargetDeclaration]:
    """Return declared targets, spread over models and data centres."""
    return [
        TargetDeclaration(
            TargetState(
                target_id=f"engine-{index:04}",
                model=f"model-{index % SIZE.models:02}",
                version="v1",
                data_centre=f"dc-{index % SIZE.data_centres:02}",
                address=f"10.0.{index // 250}.{index % 250}:9000",
                slots=100,
            ),
            cold_slots=8,
        )
        for index in range(count)
    ]


def measure_peers(instances: int, targets: int | None = None) -> PeerCost:
    """Return the cost for one of so many instances and their part of the targets."""
    if targets is None:
        targets = SIZE.count_targets(instances)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    bench = _PeerBench(instances, targets)
    bench.run_round()
    bench.fill_memory()
    state_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    # The first rounds make both sides busy, so that heartbeats are not rarer.
    for _ in range(_WARMUP_ROUNDS):
        bench.run_round()
    bench.reset()
    started = time.process_time()
    for _ in range(_ROUNDS):
        bench.run_round()
    spent = time.process_time() - started - bench.foreign_seconds
    rate = 1 / (_ROUNDS * bench.timing.heartbeat_seconds)
    return PeerCost(
        core_share=spent * rate,
        bytes_sent=bench.sent_bytes * rate,
        bytes_received=bench.received_bytes * rate,
        messages=bench.messages * rate,
        state_bytes=state_bytes,
    )


class _PeerBench:
    """Drive one coordinator through heartbeat intervals."""

    def __init__(self, instances: int, targets: int) -> None:
        self.timing = Timing()
        self._now = 0.0
        self._incarnation = 1
        self._sequence = 0
        self._sequences: dict[str, int] = {}
        peers = [f"entry-{index:04}" for index in range(instances)]
        self._listed = [
            ListedInstance(p, f"10.1.0.1:{i}", "dc-00") for i, p in enumerate(peers)
        ]
        self._peers = peers[1:]
        self._declarations = declare(targets)
        self._coordinator = Coordinator(
            _OWN, self._incarnation, self.timing, 0.0, lambda _: Demand()
        )
        self._coordinator.set_targets(self._declarations)
        self._owners = OwnerMap()
        self._owners.update(peers)
        self._by_owner: dict[str, list[str]] = {peer: [] for peer in peers}
        for item in self._declarations:
            owner = self._owners.find(item.state.target_id)
            assert owner is not None
            self._by_owner[owner].append(item.state.target_id)
        self.reset()

    def reset(self) -> None:
        """Set the counts to zero."""
        self.sent_bytes = 0
        self.received_bytes = 0
        self.messages = 0
        self.foreign_seconds = 0.0

    def run_round(self) -> None:
        """Run one interval: the own heartbeats, those of all peers, the answers."""
        self._now += self.timing.heartbeat_seconds
        coordinator = self._coordinator
        coordinator.apply_list(self._listed, self._now)
        for item in coordinator.list_owned(self._now):
            probe = TargetLoadReport("boot-1", ready=True, cold=False)
            coordinator.note_probe(item.state.target_id, probe, self._now)
        sent = coordinator.tick(self._now)
        for outgoing in sent:
            self._send(outgoing)
            assert isinstance(outgoing.message, Heartbeat)
            self._sequences[outgoing.peer] = outgoing.message.sequence
        self._sequence += 1
        for peer in self._peers:
            frame = self._frame_of(peer, self._sequences.get(peer, 0))
            self.received_bytes += len(frame)
            self.messages += 1
            for outgoing in coordinator.receive(decode_message(frame), self._now):
                self._send(outgoing)

    def fill_memory(self) -> None:
        """Bring the memory of sent heartbeats to its size after some minutes."""
        for link in self._coordinator._links.values():
            for _ in range(SENT_HISTORY_LENGTH):
                link.record(self._now)

    def _send(self, outgoing: Outgoing) -> None:
        self.sent_bytes += len(encode_message(outgoing.message))
        self.messages += 1

    def _frame_of(self, peer: str, answered: int) -> bytes:
        """Return what a peer sends; its cost is not that of the instance."""
        started = time.process_time()
        count = len(self._listed)
        reports = [
            SlotReport(target_id, 8, 0, self._sequence, True, 2, 1000, 0, 50_000, 4)
            for target_id in self._by_owner[_OWN]
        ]
        items = [
            AllowanceItem(target_id, 8, self._sequence, True, False, "boot-1", 60, 100)
            for target_id in self._by_owner[peer]
        ]
        answer = Allowances(peer, 1, answered, items, self._incarnation)
        heartbeat = Heartbeat(
            sender=peer,
            incarnation=1,
            sequence=self._sequence,
            listed=count,
            view_hash=1,
            config_offset=1000,
            delegating=True,
            reports=reports,
            echo=answered,
            echo_incarnation=self._incarnation,
            confirmed=True,
            shares=count,
            answer=answer if items else None,
        )
        frame = encode_message(heartbeat)
        self.foreign_seconds += time.process_time() - started
        return frame


def measure_view_change(instances: int) -> ViewCost:
    """Return the cost of one instance that leaves and of one that joins."""
    members = [f"entry-{index:04}" for index in range(instances)]
    targets = [f"engine-{i:04}" for i in range(SIZE.count_targets(instances))]
    owners = OwnerMap()
    owners.update(members)
    for target_id in targets:
        owners.find(target_id)
    started = time.process_time()
    owners.update(members[:-1])
    for target_id in targets:
        owners.find(target_id)
    left = time.process_time()
    owners.update(members)
    for target_id in targets:
        owners.find(target_id)
    return ViewCost(left - started, time.process_time() - left)
