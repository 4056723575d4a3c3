"""Plays of a drill in which the store comes back from a copy, and what they showed."""

import asyncio
import functools
import json
from collections.abc import Callable
from dataclasses import dataclass

from carobladder.platform.names import CONFIGURATION_KEY, EVACUATION_KEY_PREFIX
from standins.store import StoreCopy
from tests.entry.restored_checks import (
    KNOWN_SECONDS,
    REMOVED_SECONDS,
    DrillMonitor,
    Findings,
)
from tests.entry.restored_simulation import (
    OPERATOR_TOPIC,
    REVOCATION_SECONDS,
    SERVERS_TOPIC,
    STEP_SECONDS,
    RestoredFleet,
)
from tests.platform.test_documents import CONFIGURATION, ROUTE, SERVER

__all__ = ["Drill", "play"]

INSTANCES = 6
READERS = 2
COPY_AT = 2.0
# Times from the return and from the second writing to the end of a play.
END_SECONDS = 10.1
END_AFTER_WRITING_SECONDS = 6.0
# Time from the first return to the second drill.
SECOND_DRILL_SECONDS = 0.8
LATE_STARTER = f"n{INSTANCES - 1}"
DATA_CENTRES = {
    **dict.fromkeys(("i-0", "i-1", "i-2", "i-3", "i-6", "i-7"), "dc-1"),
    **dict.fromkeys(("i-4", "i-5"), "dc-2"),
    "i-13": "dc-3",
    "i-14": "dc-4",
}


@dataclass(frozen=True, slots=True)
class Drill:
    """Times of a drill in seconds, and what happens beside it.

    - ``copy_age``: age of the copy when the store goes away; None if the store comes
      back with all that it had.
    - ``away``: how long the store is away.
    - ``rewrite_after``: time from the return to the second writing.
    - ``more_lost``: number of further configurations, and of changes of a server's
      entry, that the copy lacks. Only the newest of them are written again.
    - ``is_silent``: whether calls get no answer while the store is away.
    - ``gap_writes``: number of servers that register between return and second writing.
    - ``gap_version``: whether a configuration is written there as well.
    - ``cut_off``: instance without store and peers from before the drill until
      ``reconnect_after`` the return.
    - ``starts_late``: whether one instance starts halfway to the second writing.
    - ``restarts_all``: whether all instances end and start anew halfway to the second
      writing.
    - ``late_seconds``: delay after the return of answers that were under way before.
    - ``second``: whether another drill begins soon after the return, and whether the
      lost writes are written again before it ("after rewriting") or only after it
      ("before rewriting").
    - ``takes_any_version``: broken variant of the instances.
    """

    copy_age: float | None
    away: float
    rewrite_after: float
    seed: int
    more_lost: int = 0
    is_silent: bool = True
    gap_writes: int = 0
    gap_version: bool = False
    cut_off: str | None = None
    reconnect_after: float = 0.5
    starts_late: bool = False
    restarts_all: bool = False
    late_seconds: float | None = None
    second: str | None = None
    takes_any_version: bool = False


def _build_configuration(version: int, keys: list[str], *routes: str) -> object:
    return {
        **CONFIGURATION,
        "version": version,
        "routes": [{**ROUTE, "name": name, "host": name} for name in routes],
        "tenants": [{"name": "t", "apiKeys": keys}],
    }


def _build_lost_configuration(version: int) -> object:
    return _build_configuration(version, ["k-new", "k-kept"], "r-a", "r-new")


def _build_server(target: str, data_centre: str = "dc-1", **changes: object) -> object:
    return {
        **SERVER,
        "service": "stock",
        "address": f"10.0.0.{target.removeprefix('i-')}:80",
        "zone": data_centre,
        "coldRemainingMs": 0,
        **changes,
    }


class _Play:
    """One play of a drill."""

    def __init__(self, drill: Drill) -> None:
        self._drill = drill
        self._fleet = RestoredFleet(INSTANCES, READERS, drill.seed)
        self._fleet.takes_any_version = drill.takes_any_version
        self._store = self._fleet.store
        self._store.is_silent = drill.is_silent
        self._store.late_seconds = drill.late_seconds
        self._actions: list[tuple[float, Callable[[], None]]] = []
        self._copies: dict[str, StoreCopy] = {}
        late_starter = LATE_STARTER if drill.starts_late else None
        self._monitor = DrillMonitor(self._fleet, drill.cut_off, late_starter)

    async def run(self) -> Findings:
        """Play to the end."""
        end = self._plan()
        clock = self._fleet.clock
        try:
            while clock.monotonic() < end:
                while self._actions and self._actions[0][0] <= clock.monotonic():
                    self._actions.pop(0)[1]()
                await self._fleet.step()
                self._monitor.check_step()
            self._monitor.check_end(30)
        finally:
            await self._fleet.stop()
        return self._monitor.findings

    def _at(self, seconds: float, action: Callable[..., None], *arguments) -> None:
        self._actions.append((seconds, functools.partial(action, *arguments)))

    def _plan(self) -> float:
        """Plan all actions; return the time of the end."""
        drill = self._drill
        self._at(0.0, self._begin)
        self._at(COPY_AT, self._take_copy, "first")
        copy_age = 3.0 if drill.copy_age is None else drill.copy_age
        self._plan_lost_writes(copy_age * 0.3)
        down_at = COPY_AT + copy_age
        self._at(down_at, self._store.go_away)
        back_at = down_at + drill.away
        self._at(back_at, self._come_back, "first")
        if drill.second is not None:
            self._plan_gap_writes(back_at, 40)
            self._at(back_at + 0.1, self._take_copy, "second")
            if drill.second == "after rewriting":
                self._at(back_at + 0.2, self._write_again)
            self._at(back_at + SECOND_DRILL_SECONDS, self._store.go_away)
            back_at += SECOND_DRILL_SECONDS + drill.away
            self._at(back_at, self._come_back, "second")
        if drill.cut_off is not None:
            self._plan_cut(drill.cut_off, down_at, back_at + drill.reconnect_after)
        again_at = back_at + drill.rewrite_after
        self._plan_gap(back_at, again_at)
        self._plan_changes(again_at + 1.5, "i-7", "dc-4", "i-14")
        self._plan_version(again_at + 1.5, 30)
        self._actions.sort(key=lambda action: action[0])
        return max(back_at + END_SECONDS, again_at + END_AFTER_WRITING_SECONDS)

    def _plan_lost_writes(self, seconds: float) -> None:
        """Plan the writes that the copy lacks, in this time after it."""
        count = self._drill.more_lost
        writes = [
            (SERVERS_TOPIC, "i-0", _build_server("i-0", state="draining")),
            (OPERATOR_TOPIC, CONFIGURATION_KEY, _build_lost_configuration(11)),
            (SERVERS_TOPIC, "i-1", None),
            (OPERATOR_TOPIC, EVACUATION_KEY_PREFIX + "dc-2", {}),
            (SERVERS_TOPIC, "i-8", _build_server("i-8")),
            (SERVERS_TOPIC, "i-9", _build_server("i-9")),
        ]
        for index in range(count):
            configuration = _build_lost_configuration(12 + index)
            writes.append((OPERATOR_TOPIC, CONFIGURATION_KEY, configuration))
            entry = _build_server("i-6", coldRemainingMs=1 + index)
            writes.append((SERVERS_TOPIC, "i-6", entry))
        for index, write in enumerate(writes):
            self._at(COPY_AT + seconds * (index + 1) / len(writes), self._put, *write)
        revoked_at = COPY_AT + seconds * 2 / len(writes)
        self._monitor.expect_refused("k-old", revoked_at + REVOCATION_SECONDS)
        self._at(COPY_AT + seconds + STEP_SECONDS, self._monitor.expect_lasting)

    def _plan_gap_writes(self, back_at: float, first_number: int) -> None:
        for index in range(self._drill.gap_writes):
            target = f"i-{first_number + index}"
            at = back_at + STEP_SECONDS * (1 + index // 4)
            self._at(at, self._put, SERVERS_TOPIC, target, _build_server(target))

    def _plan_cut(self, name: str, down_at: float, reconnected_at: float) -> None:
        (instance,) = (i for i in self._fleet.instances if i.name == name)
        self._at(down_at - 3 * STEP_SECONDS, self._fleet.cut_off, instance)
        self._at(reconnected_at, self._fleet.reconnect, instance)
        self._monitor.reconnected_at = reconnected_at

    def _plan_gap(self, back_at: float, again_at: float) -> None:
        """Plan what is written after the last return, and the second writing."""
        drill = self._drill
        self._plan_gap_writes(back_at, 20)
        if drill.gap_version:
            self._plan_version(back_at + 0.04, 25)
            if drill.copy_age is None:
                # An older one comes again, as after a drill.
                older = _build_lost_configuration(11)
                self._at(again_at, self._put, OPERATOR_TOPIC, CONFIGURATION_KEY, older)
        if drill.starts_late:
            self._at(back_at + drill.rewrite_after / 2, self._start_late)
        if drill.restarts_all:
            self._at(back_at + drill.rewrite_after / 2, self._restart_all)
        self._plan_changes(back_at + 0.3, "i-2", "dc-3", "i-13")
        self._at(back_at + 0.4, self._put, SERVERS_TOPIC, "i-3", None)
        self._at(again_at, self._write_again)
        self._monitor.expect_removed("i-3", again_at + REMOVED_SECONDS)
        self._monitor.expect_outlived("i-9", again_at + REMOVED_SECONDS)

    def _plan_changes(
        self, at: float, target: str, data_centre: str, target_there: str
    ) -> None:
        """Plan that a target drains and a data centre is emptied."""
        draining = _build_server(target, state="draining")
        self._at(at, self._put, SERVERS_TOPIC, target, draining)
        key = EVACUATION_KEY_PREFIX + data_centre
        self._at(at, self._put, OPERATOR_TOPIC, key, {})
        for unused in (target, target_there):
            self._monitor.expect_unused(unused, at + KNOWN_SECONDS)

    def _plan_version(self, at: float, version: int) -> None:
        """Plan that a configuration is written."""
        routes = ("r-a", "r-new", f"r-{version}")
        configuration = _build_configuration(version, ["k-new"], *routes)
        self._at(at, self._put, OPERATOR_TOPIC, CONFIGURATION_KEY, configuration)
        self._monitor.expect_version(version, at + KNOWN_SECONDS)

    def _begin(self) -> None:
        configuration = _build_configuration(10, ["k-old", "k-kept"], "r-a")
        self._store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, configuration)
        for target, data_centre in DATA_CENTRES.items():
            entry = _build_server(target, data_centre)
            self._store.put(SERVERS_TOPIC, target, entry)
        for instance in self._fleet.instances:
            if not (self._drill.starts_late and instance.name == LATE_STARTER):
                self._fleet.start(instance)

    def _start_late(self) -> None:
        self._fleet.start(self._fleet.instances[-1])
        self._monitor.late_start_at = self._fleet.clock.monotonic()

    def _restart_all(self) -> None:
        self._fleet.restart_all()
        self._monitor.note_restart()

    def _take_copy(self, name: str) -> None:
        self._copies[name] = self._store.state.take_copy()

    def _come_back(self, copy: str) -> None:
        is_restored = self._drill.copy_age is not None
        self._store.come_back(self._copies[copy] if is_restored else None)
        self._monitor.note_return()
        # Its server has ended meanwhile.
        self._store.state.forget_lost(SERVERS_TOPIC, "i-9")
        if not is_restored:
            self._put(SERVERS_TOPIC, "i-9", None)

    def _put(self, topic: str, key: str, document: object) -> None:
        self._store.put(topic, key, document)
        value = None if document is None else json.dumps(document).encode()
        self._monitor.note_record(topic, key, value)

    def _write_again(self) -> None:
        only_newest = self._drill.more_lost > 0
        for write in self._store.write_lost_again(only_newest):
            self._monitor.note_record(write.topic, write.key, write.value)


@functools.cache
def play(drill: Drill) -> Findings:
    """Play a drill once; later calls return the same findings."""
    return asyncio.run(_Play(drill).run())
