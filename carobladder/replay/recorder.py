"""Recorder of what the decision code of running instances is given."""

import contextvars
import dataclasses
import itertools
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from carobladder.bookings import ClaimLedger
from carobladder.bookings.claims import encode_record
from carobladder.clock import Clock
from carobladder.gateway.ports import ChatRequest, SlotRequest
from carobladder.instance.placement import FleetPlacement
from carobladder.limits.admission import AdmissionController, Demand
from carobladder.limits.allowances import SlotPermit
from carobladder.peers import Coordinator
from carobladder.peers.messages import encode_message
from carobladder.replay import events
from carobladder.replay.player import list_grants

__all__ = ["TraceRecorder"]

_current_request: contextvars.ContextVar[int] = contextvars.ContextVar(
    "current_request", default=0
)


class TraceRecorder:
    """Record the calls of attached instances and what they decided.

    All attached instances run in the recording process, so that the order of the
    lines is the order of the calls.
    """

    def __init__(self) -> None:
        self.events: list[events.Event] = []
        self.outcomes: list[events.Outcome] = []
        self._numbers = itertools.count(1)
        self._permits: dict[int, SlotPermit] = {}
        self._permit_numbers: dict[int, int] = {}

    def add(self, event: events.Event, decision: Any = None) -> None:
        """Append an event and, if it decides something, its outcome."""
        self.events.append(event)
        if decision is not None:
            self.outcomes.append(events.Outcome(len(self.events), decision))

    def attach_coordinator(self, coordinator: Coordinator, token_secret: str) -> None:
        """Record a coordinator that has not been used yet."""
        name = coordinator.own_id
        timing = dataclasses.asdict(coordinator.timing)
        # Its first own round is due at the time that it was built with.
        now = coordinator._own_due
        start = events.Start(name, now, coordinator.incarnation, timing, token_secret)
        self.add(start)
        self._attach_inputs(coordinator, name)
        self._attach_exchanges(coordinator, name)
        self._attach_book(coordinator, name)

    def _attach_inputs(self, coordinator: Coordinator, name: str) -> None:
        last: list[Any] = []

        def targets(declarations: Iterable[Any]) -> list[Any]:
            items = list(declarations)
            if items != last:
                last[:] = items
                self.add(events.Targets(name, [_describe(item) for item in items]))
            return items

        set_targets = coordinator.set_targets
        _replace(coordinator, "set_targets", lambda d: set_targets(targets(d)))
        self._wrap(
            coordinator,
            "apply_list",
            lambda listed, now: events.Listed(
                name, now, [dataclasses.asdict(item) for item in listed]
            ),
        )
        self._wrap(
            coordinator,
            "note_config",
            lambda offset, now: events.ConfigRead(name, now, offset),
        )
        self._wrap(
            coordinator,
            "note_probe",
            lambda target, probe, now: events.Probe(
                name, now, target, None if probe is None else dataclasses.asdict(probe)
            ),
        )
        self._wrap(
            coordinator.book,
            "note_boot",
            lambda target, boot_id: events.Boot(name, target, boot_id),
        )

    def _attach_exchanges(self, coordinator: Coordinator, name: str) -> None:
        demands: dict[str, tuple[int, int]] = {}
        describe = coordinator.demand

        def demand(target_id: str) -> Demand:
            found = describe(target_id)
            if found != Demand():
                demands[target_id] = (found.wanted, found.unit)
            return found

        coordinator.demand = demand
        receive, tick = coordinator.receive, coordinator.tick
        ask, list_owned = coordinator.ask, coordinator.list_owned

        def record_receive(message: Any, now: float) -> Any:
            demands.clear()
            frame = encode_message(message)
            sent = receive(message, now)
            grants = list_grants(sent)
            self.add(events.Message(name, now, frame, dict(demands)), grants)
            return sent

        def record_tick(now: float) -> Any:
            demands.clear()
            sent = tick(now)
            self.add(events.Tick(name, now, dict(demands)))
            return sent

        def record_ask(target_ids: Iterable[str], now: float) -> None:
            named = list(target_ids)
            self.add(events.Ask(name, now, named))
            ask(named, now)

        def record_look(now: float) -> Any:
            owned = list_owned(now)
            ids = sorted(item.state.target_id for item in owned)
            self.add(events.Look(name, now), ids)
            return owned

        _replace(coordinator, "receive", record_receive)
        _replace(coordinator, "tick", record_tick)
        _replace(coordinator, "ask", record_ask)
        _replace(coordinator, "list_owned", record_look)

    def _attach_book(self, coordinator: Coordinator, name: str) -> None:
        book = coordinator.book
        try_acquire, is_valid, release = book.try_acquire, book.is_valid, book.release

        def record_acquire(target_id: str, weight: int, now: float) -> Any:
            permit = try_acquire(target_id, weight, now)
            number = next(self._numbers)
            if permit is not None:
                self._permits[number] = permit
                self._permit_numbers[id(permit)] = number
            event = events.Acquire(name, now, number, target_id, weight)
            self.add(event, permit is not None)
            return permit

        def record_check(permit: SlotPermit, now: float) -> bool:
            valid = is_valid(permit, now)
            self.add(events.Check(name, now, self._find_number(permit)), valid)
            return valid

        def record_release(permit: SlotPermit, **how: Any) -> None:
            number = self._find_number(permit)
            self.add(events.Release(name, self._last_time(), number, **how))
            release(permit, **how)

        _replace(book, "try_acquire", record_acquire)
        _replace(book, "is_valid", record_check)
        _replace(book, "release", record_release)

    def attach_chats(
        self,
        name: str,
        placement: FleetPlacement,
        admission: AdmissionController,
        clock: Clock,
    ) -> None:
        """Record the ranking of chats and which permit each request gets."""
        rank, acquire = placement.rank, admission.acquire
        numbers = self._numbers

        def record_rank(chat: ChatRequest, targets: Sequence[Any], shares: Any) -> Any:
            ranking = rank(chat, targets, shares)
            number = next(numbers)
            _current_request.set(number)
            self.add(
                events.Request(
                    name,
                    number,
                    clock.now().timestamp(),
                    chat.team.name,
                    chat.model,
                    chat.request_class.value,
                    chat.chat_id,
                    chat.chat_token,
                    [(turn.role, turn.text) for turn in chat.turns],
                    dict(shares),
                    [
                        (t.target_id, t.version, t.boot_id, t.ready, t.leaving)
                        for t in targets
                    ],
                ),
                list(ranking.ranked),
            )
            return ranking

        async def record_acquire(request: SlotRequest) -> Any:
            number = _current_request.get()
            _current_request.set(0)
            try:
                permit = await acquire(request)
            except Exception:
                if number:
                    self.add(events.Served(name, number), "refused")
                raise
            if number:
                serial = self._find_number(permit._permit)
                event = events.Served(name, number, serial)
                self.add(event, permit.target.target_id)
            return permit

        _replace(placement, "rank", record_rank)
        _replace(admission, "acquire", record_acquire)

    def attach_bookings(self, name: str, ledger: ClaimLedger, runner: Any) -> None:
        """Record the claims that an instance reads and whether its own may send."""
        apply = ledger.apply
        append_and_read = runner._append_and_read

        def record_apply(offset: int, record: Any) -> None:
            if record is not None:
                data = encode_record(record)
                self.add(events.ClaimRecordRead(name, offset, data))
            apply(offset, record)

        async def record_claim(attempt: Any) -> Any:
            entry = await append_and_read(attempt)
            claim = attempt.claim
            first = entry.holder.claim_id == claim.claim_id
            self.add(
                events.Claimed(name, claim.team, claim.key, claim.claim_id),
                "send" if first else "follow",
            )
            return entry

        _replace(ledger, "apply", record_apply)
        _replace(runner, "_append_and_read", record_claim)

    def _wrap(self, owner: Any, method: str, describe: Callable[..., Any]) -> None:
        original = getattr(owner, method)

        def record(*arguments: Any) -> Any:
            self.add(describe(*arguments))
            return original(*arguments)

        _replace(owner, method, record)

    def _find_number(self, permit: SlotPermit) -> int:
        return self._permit_numbers[id(permit)]

    def _last_time(self) -> float:
        """Return the time of the newest event that has one."""
        for event in reversed(self.events):
            found = getattr(event, "at", None)
            if found is not None:
                return float(found)
        return 0.0


def _replace(owner: Any, method: str, wrapper: Callable[..., Any]) -> None:
    setattr(owner, method, wrapper)


def _describe(item: Any) -> tuple[dict[str, Any], int, bool]:
    return dataclasses.asdict(item.state), item.cold_slots, item.balanced
