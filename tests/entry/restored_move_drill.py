"""Plays of a version move beside a drill of the store, with drawn moments."""

import asyncio
import random
from dataclasses import dataclass

from standins.store import StoreCopy
from tests.entry.restored_move_simulation import DURATION_SECONDS, RestoredMoveFleet

__all__ = ["MoveDrill", "draw_move_drill", "play_move_drill"]

# Time after the last event in which all instances must agree on the end of a move.
_AGREE_SECONDS = 8.0
# Time after the end of a move is known in which requests may still reach the version
# that is no longer in use.
_KNOWN_SECONDS = 2.0
_FAILURE_CHANCE = 0.5
_LATE_STARTER = "front-9"
_TAKEN_BACK = "taken_back"
_STATES = {"completed": "completed", "rolled_back": _TAKEN_BACK}


@dataclass(frozen=True, slots=True)
class MoveDrill:
    """Moments of a move and of what happens beside it, in seconds since its order.

    - ``copy_at``: when the copy is taken; before the order if it is negative.
    - ``down_at``: when the store goes away.
    - ``away``, ``rewrite_after``: how long it is away, and the time from its return to
      the second writing.
    - ``fails_from``: when requests to the new version begin to fail.
    - ``withdrawn_at``: when the order is withdrawn.
    - ``new_leader_after``: time from the return until another instance leads, as the
      leader has ended beside the drill.
    - ``starts_late``, ``late_leads``: whether an instance starts as the store returns,
      and leads.
    - ``second_after``: time from the second writing to another drill with this copy.
    """

    seed: int
    copy_at: float
    down_at: float
    away: float
    rewrite_after: float
    fails_from: float | None = None
    withdrawn_at: float | None = None
    new_leader_after: float | None = None
    starts_late: bool = False
    late_leads: bool = False
    second_after: float | None = None


def draw_move_drill(seed: int) -> MoveDrill:
    """Return a drill whose moments and disruptions are drawn."""
    generator = random.Random(f"move/{seed}")
    down_at = generator.uniform(3.0, 26.0)
    copy_at = generator.choice((-1.0, 0.0, generator.uniform(0.1, down_at)))
    ending = generator.choice(("good", "good", "faulty", "withdrawn"))
    beside = generator.choice(("none", "none", "leader", "late", "late leads"))
    second_after = generator.uniform(0.2, 4.0)
    return MoveDrill(
        seed=seed,
        copy_at=copy_at,
        down_at=down_at,
        away=generator.uniform(0.2, 4.0),
        rewrite_after=generator.uniform(0.05, 2.0),
        fails_from=generator.uniform(2.0, 12.0) if ending == "faulty" else None,
        withdrawn_at=generator.uniform(4.0, 14.0) if ending == "withdrawn" else None,
        new_leader_after=generator.uniform(0.5, 4.0) if beside == "leader" else None,
        starts_late=beside.startswith("late"),
        late_leads=beside == "late leads",
        second_after=second_after if generator.random() < 0.3 else None,
    )


def play_move_drill(drill: MoveDrill) -> list[str]:
    """Play a drill and return what went wrong."""
    return asyncio.run(_MovePlay(drill).run())


class _MovePlay:
    """One play of a drill."""

    def __init__(self, drill: MoveDrill) -> None:
        self._drill = drill

    async def run(self) -> list[str]:
        """Play to the end and return what went wrong."""
        self._fleet = RestoredMoveFleet(seed=self._drill.seed)
        self._withdrawn_from: str | None = None
        self._rewritten_at = 0.0
        try:
            await self._play()
            return self._find_faults()
        finally:
            await self._fleet.end()

    async def _play(self) -> None:
        drill = self._drill
        fleet = self._fleet
        copy = await self._begin()
        if drill.late_leads:
            fleet.deal_other_partitions()
        if drill.new_leader_after is not None:
            leader = fleet.instances.pop(0)
            leader.task.cancel()
            leader.operator_task.cancel()
        await self._restore(copy, _LATE_STARTER if drill.starts_late else None)
        if drill.new_leader_after is not None:
            await self._run(drill.new_leader_after)
            fleet.instances[1].ledger.assign(frozenset({0}))
        if drill.second_after is not None:
            await self._run(drill.second_after)
            await self._restore(copy, None)
        rest = DURATION_SECONDS - fleet.clock.monotonic()
        await self._run(max(0.0, rest) + _AGREE_SECONDS)

    async def _begin(self) -> StoreCopy:
        """Play up to the drill and return the copy."""
        drill = self._drill
        fleet = self._fleet
        fleet.write_other(1)
        copy = fleet.state.take_copy()
        fleet.write_other(2)
        fleet.write_order()
        if drill.fails_from is not None:
            begins_at = drill.fails_from
            fleet.failure_chance = lambda seconds, share: (
                _FAILURE_CHANCE if seconds >= begins_at else 0.0
            )
        if drill.copy_at == 0.0:
            copy = fleet.state.take_copy()
        fleet.write_other(3)
        await fleet.begin(2.0)
        if drill.copy_at > 0.0:
            await self._run(max(0.0, drill.copy_at - fleet.clock.monotonic()))
            copy = fleet.state.take_copy()
        await self._run(max(0.0, drill.down_at - fleet.clock.monotonic()))
        return copy

    async def _restore(self, copy: StoreCopy, start_late: str | None) -> None:
        drill = self._drill
        await self._withdraw_before(drill.away + drill.rewrite_after)
        await self._fleet.restore(
            copy,
            start_late,
            leads=drill.late_leads and start_late is not None,
            away_seconds=drill.away,
            rewrite_seconds=drill.rewrite_after,
        )
        self._rewritten_at = self._fleet.clock.monotonic()

    async def _run(self, seconds: float) -> None:
        """Run for this long, and withdraw the order if that is due meanwhile."""
        end = self._fleet.clock.monotonic() + seconds
        await self._withdraw_before(seconds)
        await self._fleet.run(end - self._fleet.clock.monotonic())

    async def _withdraw_before(self, seconds: float) -> None:
        """Run up to the withdrawal of the order and withdraw it, if it is due."""
        at = self._drill.withdrawn_at
        now = self._fleet.clock.monotonic()
        if at is None or self._withdrawn_from is not None or now + seconds < at:
            return
        await self._fleet.run(max(0.0, at - now))
        self._withdrawn_from = self._fleet.read_status() or "ordered"
        self._fleet.withdraw_order()

    def _find_faults(self) -> list[str]:
        fleet = self._fleet
        status = fleet.read_status()
        faults = []
        if len(fleet.ends) > 1:
            faults.append(f"operators have read {fleet.ends}")
        if status not in self._list_allowed():
            faults.append(f"the last status is {status}")
        if status in _STATES:
            faults += self._find_disagreements(_STATES[status])
            faults += self._find_late_requests(status)
        if status == "completed" and fleet.list_fallen_shares():
            faults.append(f"shares fell: {list(fleet.list_fallen_shares())}")
        return faults

    def _list_allowed(self) -> tuple[str, ...]:
        if self._drill.fails_from is not None:
            return ("rolled_back",)
        if self._withdrawn_from == "completed":
            return ("completed",)
        if self._withdrawn_from is not None:
            return ("rolled_back",)
        return ("completed",)

    def _find_disagreements(self, state: str) -> list[str]:
        moves = [each.moves.services.get("engine") for each in self._fleet.instances]
        if self._withdrawn_from is not None:
            # An instance that has started since the withdrawal knows of no move.
            moves = [each for each in moves if each is not None]
        states = [
            str(each.step.state) if each and each.step else None for each in moves
        ]
        ids = {each.move_id if each else None for each in moves}
        faults = []
        if set(states) != {state}:
            faults.append(f"instances are {states}, not {state}")
        if len(ids) != 1:
            faults.append(f"instances have moves {ids}")
        return faults

    def _find_late_requests(self, status: str) -> list[str]:
        """Return requests to the version that is out of use, well after the end."""
        is_new_allowed = status == "completed"
        ended_at = self._fleet.ends[status]
        late: dict[str, list[float]] = {}
        for sender, (at, is_new, _) in zip(
            self._fleet.senders, self._fleet.sent, strict=True
        ):
            since = 0.0
            if sender == _LATE_STARTER:
                if self._withdrawn_from is not None:
                    # It knows of no order, and the new targets are still there.
                    continue
                # It knows only what the store has.
                since = self._rewritten_at
            if is_new != is_new_allowed and at > max(ended_at, since) + _KNOWN_SECONDS:
                late.setdefault(sender, []).append(at)
        return [
            f"{sender} sent {len(times)} requests to the wrong version, the last at "
            f"{times[-1]:.2f}, ended at {ended_at:.2f}"
            for sender, times in late.items()
        ]
