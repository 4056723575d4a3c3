"""Owner's side of the protocol: ledgers, warm-up and load of owned targets."""

import math
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from fractions import Fraction

from carobladder.limits.allowances import Allowance, AllowanceBook
from carobladder.limits.budgets import HolderReport, SlotLedger, Terms
from carobladder.limits.declarations import TargetDeclaration, TargetLoadReport
from carobladder.limits.warmup import Warmup
from carobladder.peers.messages import AllowanceItem, Report
from carobladder.targets import CLASS_WEIGHT, TargetState

__all__ = ["OwnedTargets"]

SURPLUS_PROBES = 3
# The load of a target whose owner changes still counts in the mean of its pool.
LOAD_MEMORY_SECONDS = 5.0
_MAX_WEIGHT = max(CLASS_WEIGHT.values())


@dataclass(slots=True)
class _Owned:
    ledger: SlotLedger
    warmup: Warmup
    ready: bool = False
    probed: float = -math.inf
    # Requests reported by the target less those that the holders reported, newest
    # last; holders' reports lag, so that only what stays counts as foreign.
    surplus: deque[int] = field(default_factory=lambda: deque(maxlen=SURPLUS_PROBES))
    silent: frozenset[str] = frozenset()
    totals: dict[str, tuple[int, int, int]] = field(default_factory=dict)


class OwnedTargets:
    """Hold ledgers and warm-up of the targets that this instance serves as owner."""

    def __init__(
        self,
        lease_seconds: float,
        hold_until: float,
        load_multiple: float,
        probe_valid_seconds: float,
    ) -> None:
        self.declarations: dict[str, TargetDeclaration] = {}
        # False while a configuration change may have been missed; allots nothing.
        self.informed = True
        # Counts the changes of the declarations.
        self.revision = 0
        self._lease_seconds = lease_seconds
        self._hold_until = hold_until
        self._load_multiple = load_multiple
        self._probe_valid_seconds = probe_valid_seconds
        self._owned: dict[str, _Owned] = {}
        self._pools: dict[tuple[str, str], list[str]] = {}

    def set_declarations(self, declarations: Iterable[TargetDeclaration]) -> None:
        """Take the declared targets."""
        self.revision += 1
        self.declarations = {item.state.target_id: item for item in declarations}
        self._pools = {}
        for target_id, item in self.declarations.items():
            key = (item.state.model, item.state.version)
            self._pools.setdefault(key, []).append(target_id)
        for target_id in [
            name for name in self._owned if name not in self.declarations
        ]:
            del self._owned[target_id]
        for target_id, owned in self._owned.items():
            owned.warmup.warm_slots = self.declarations[target_id].state.slots

    def note_probe(
        self,
        target_id: str,
        probe: TargetLoadReport | None,
        known: Allowance | None,
        now: float,
    ) -> None:
        """Take a load report; ``known`` is what an earlier owner said of the target."""
        owned = self._find(target_id, now)
        if owned is None:
            return
        if probe is None:
            owned.ready = False
            return
        if not owned.warmup.boot_id and known is not None and known.boot_id:
            owned.warmup.resume(known.boot_id, known.cold, known.limit)
        if probe.boot_id != owned.warmup.boot_id:
            owned.surplus.clear()
        owned.warmup.observe(probe.boot_id, probe.cold, probe.bearable, now)
        owned.ready = probe.ready
        owned.probed = now
        reported = probe.running + probe.waiting
        self._note_silent(owned, now)
        owned.surplus.append(max(0, reported - owned.ledger.count_requests(now)))

    def _note_silent(self, owned: _Owned, now: float) -> None:
        """Start to measure foreign requests anew when a holder has become silent."""
        silent = owned.ledger.list_silent(now)
        if silent - owned.silent:
            owned.surplus.clear()
        owned.silent = silent

    def delegate(
        self,
        target_id: str,
        holder: str,
        share: Fraction,
        expires: float,
        confirmed: bool,
        now: float,
    ) -> None:
        """Take a holder's share of a target."""
        owned = self._find(target_id, now)
        if owned is not None:
            owned.ledger.delegate(holder, share, expires, confirmed)

    def report(
        self, target_id: str, holder: str, report: HolderReport, now: float
    ) -> None:
        """Take a holder's report."""
        owned = self._find(target_id, now)
        if owned is not None:
            owned.ledger.report(holder, report, now)

    def note_evidence(self, report: Report, holder: str) -> None:
        """Count what a holder's totals add since its last report."""
        owned = self._owned.get(report.target_id)
        if owned is None:
            return
        totals = (report.answers, report.errors, report.first_byte_ms)
        last = owned.totals.get(holder)
        owned.totals[holder] = totals
        # Totals from before this owner's first report say nothing about the present.
        if last is None or any(
            new < old for new, old in zip(totals, last, strict=True)
        ):
            return
        answers, errors, first_byte_ms = (
            new - old for new, old in zip(totals, last, strict=True)
        )
        owned.warmup.note_answers(answers, errors, first_byte_ms / 1000)

    def allot(
        self, holder: str, target_ids: Sequence[str], book: AllowanceBook, now: float
    ) -> list[AllowanceItem]:
        """Return what the holder may use of each target from now on."""
        items = []
        for target_id in target_ids:
            owned = self._find(target_id, now)
            if owned is None:
                continue
            owned.warmup.tick(now)
            terms = self._state_terms(target_id, owned, book, now)
            allotment = owned.ledger.allot(holder, terms, now)
            item = AllowanceItem(
                target_id=target_id,
                slots=allotment.slots,
                sequence=allotment.sequence,
                ready=terms.usable,
                cold=owned.warmup.cold,
                boot_id=owned.warmup.boot_id,
                load=_count_load(owned, book.find_last(target_id), now),
                limit=owned.warmup.limit,
                contended=owned.ledger.is_contended(now),
            )
            items.append(item)
        return items

    def list_unmet(
        self, target_ids: Sequence[str], book: AllowanceBook, now: float
    ) -> dict[str, list[str]]:
        """Return the targets of which each waiting holder can now get more."""
        unmet: dict[str, list[str]] = {}
        for target_id in target_ids:
            owned = self._owned.get(target_id)
            if owned is None:
                continue
            terms = self._state_terms(target_id, owned, book, now)
            for holder in owned.ledger.list_unmet(terms, now):
                unmet.setdefault(holder, []).append(target_id)
        return unmet

    def forget_holder(self, holder: str) -> None:
        """Drop a holder that has restarted."""
        for owned in self._owned.values():
            owned.ledger.remove_holder(holder)
            owned.totals.pop(holder, None)

    def clean_up(self, now: float, is_gone: Callable[[str], bool]) -> None:
        """Drop holders that have left and ledgers that nobody uses."""
        for target_id, owned in list(self._owned.items()):
            for holder in owned.ledger.list_holders():
                if is_gone(holder):
                    owned.ledger.remove_holder(holder)
                    owned.totals.pop(holder, None)
            if owned.ledger.is_idle(now):
                del self._owned[target_id]

    def _find(self, target_id: str, now: float) -> _Owned | None:
        owned = self._owned.get(target_id)
        if owned is not None:
            return owned
        declaration = self.declarations.get(target_id)
        if declaration is None:
            return None
        hold_until = max(self._hold_until, now + self._lease_seconds)
        owned = _Owned(
            SlotLedger(self._lease_seconds, hold_until),
            Warmup(declaration.state.slots, declaration.cold_slots, now),
        )
        self._owned[target_id] = owned
        return owned

    def _state_terms(
        self, target_id: str, owned: _Owned, book: AllowanceBook, now: float
    ) -> Terms:
        declaration = self.declarations[target_id]
        self._note_silent(owned, now)
        fresh = now - owned.probed <= self._probe_valid_seconds
        usable = owned.ready and fresh and self.informed
        usable = usable and not declaration.state.leaving
        load_cap = None
        if declaration.balanced:
            load_cap = self._find_load_cap(declaration.state, book, now)
        return Terms(
            limit=owned.warmup.limit,
            usable=usable,
            cold=owned.warmup.cold,
            load_cap=load_cap,
            foreign=_count_foreign(owned),
        )

    def _find_load_cap(
        self, state: TargetState, book: AllowanceBook, now: float
    ) -> float | None:
        """Return multiple x mean load over the ready targets of the pool.

        None if no other target is ready, as there is nothing to compare with. The
        cap is at least one request of the greatest weight: below it the mean is so
        small that whole requests cannot be spread more evenly.
        """
        loads = []
        others = 0
        for target_id in self._pools.get((state.model, state.version), ()):
            if self.declarations[target_id].state.leaving:
                continue
            allowance = book.find_last(target_id)
            if allowance is None or allowance.ready:
                others += target_id != state.target_id
            load = self._find_load(target_id, allowance, now)
            if load is not None:
                loads.append(load)
        if not others:
            return None
        mean = math.fsum(loads) / len(loads) if loads else 0.0
        return max(self._load_multiple * mean, float(_MAX_WEIGHT))

    def _find_load(
        self, target_id: str, allowance: Allowance | None, now: float
    ) -> int | None:
        """Return the last known load of a ready target, or None."""
        owned = self._owned.get(target_id)
        if owned is not None and owned.ledger.is_serving(now):
            return _count_load(owned, allowance, now)
        if allowance is None or now > allowance.expires + LOAD_MEMORY_SECONDS:
            return None
        return allowance.load if allowance.ready else None


def _count_load(owned: _Owned, last: Allowance | None, now: float) -> int:
    """Return the load of an owned target.

    Until the holders had time to report, the load that the owner before stated
    counts; a load of 0 would lower the mean and with it the cap of the whole pool.
    """
    # Requests of a silent holder end with it if it is dead and go on if it is cut
    # off; the target's own report tells.
    silent = min(owned.ledger.count_silent_load(now), _count_foreign(owned))
    load = owned.ledger.count_load(now) + silent
    if last is None or owned.ledger.is_settled(now):
        return load
    return max(load, last.load)


def _count_foreign(owned: _Owned) -> int:
    """Return the slots that requests of unknown instances may occupy."""
    if len(owned.surplus) < SURPLUS_PROBES:
        return owned.warmup.limit
    return _MAX_WEIGHT * min(owned.surplus)
