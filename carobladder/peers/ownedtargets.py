"""Targets that an instance owns: their ledgers, warm-up and load."""

import math
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from fractions import Fraction

from carobladder.limits.allowances import Allowance, AllowanceBook
from carobladder.limits.budgets import HolderReport, SlotLedger, Terms
from carobladder.limits.declarations import TargetDeclaration, TargetLoadReport
from carobladder.limits.warmup import Warmup
from carobladder.peers.messages import AllowanceItem, SlotReport
from carobladder.targets import CLASS_WEIGHT, TargetState

__all__ = ["OwnedTargets"]

# Number of consecutive probes whose minimum gives the unattributed requests.
UNATTRIBUTED_PROBES = 3
# For this long, the load of a target whose owner changes still counts in the mean
# load of its pool.
LOAD_RETENTION_SECONDS = 5.0
_MAX_WEIGHT = max(CLASS_WEIGHT.values())


@dataclass(slots=True)
class _OwnedTarget:
    """State of one owned target; ``answer_totals`` are by holder."""

    ledger: SlotLedger
    warmup: Warmup
    ready: bool = False
    probed_at: float = -math.inf
    # Requests reported by the target minus those reported by holders, newest last.
    # Holders' reports lag, so only the minimum counts as unattributed.
    unattributed: deque[int] = field(
        default_factory=lambda: deque(maxlen=UNATTRIBUTED_PROBES)
    )
    silent_holders: frozenset[str] = frozenset()
    answer_totals: dict[str, tuple[int, int, int]] = field(default_factory=dict)


class OwnedTargets:
    """Ledgers, warm-up and load of the targets that this instance owns.

    As an owner, the instance divides the slots of a target between the instances
    that hold them. Times are in monotonic seconds.
    """

    def __init__(
        self,
        lease_seconds: float,
        hold_until: float,
        load_multiple: float,
        probe_valid_seconds: float,
    ) -> None:
        self.declarations: dict[str, TargetDeclaration] = {}
        # False while a configuration change may have been missed; no slots are granted.
        self.config_current = True
        # Number of changes of the declarations.
        self.revision = 0
        self._lease_seconds = lease_seconds
        self._hold_until = hold_until
        self._load_multiple = load_multiple
        self._probe_valid_seconds = probe_valid_seconds
        self._owned: dict[str, _OwnedTarget] = {}
        self._pools: dict[tuple[str, str], list[str]] = {}

    def set_declarations(self, declarations: Iterable[TargetDeclaration]) -> None:
        """Replace the declared targets."""
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
        last_allowance: Allowance | None,
        now: float,
    ) -> None:
        """Record a load report; None means that the target did not answer.

        ``last_allowance`` is the newest allowance of an earlier owner of the target.
        """
        owned = self._find(target_id, now)
        if owned is None:
            return
        if probe is None:
            owned.ready = False
            return
        if (
            not owned.warmup.boot_id
            and last_allowance is not None
            and last_allowance.boot_id
        ):
            owned.warmup.resume(
                last_allowance.boot_id, last_allowance.cold, last_allowance.limit
            )
        if probe.boot_id != owned.warmup.boot_id:
            owned.unattributed.clear()
        owned.warmup.observe(probe.boot_id, probe.cold, probe.bearable, now)
        owned.ready = probe.ready
        owned.probed_at = now
        reported_requests = probe.running + probe.waiting
        self._update_silent_holders(owned, now)
        owned.unattributed.append(
            max(0, reported_requests - owned.ledger.count_requests(now))
        )

    def _update_silent_holders(self, owned: _OwnedTarget, now: float) -> None:
        """Restart counting unattributed requests when a holder becomes silent."""
        silent_holders = owned.ledger.list_silent(now)
        if silent_holders - owned.silent_holders:
            owned.unattributed.clear()
        owned.silent_holders = silent_holders

    def delegate(
        self,
        target_id: str,
        holder: str,
        share: Fraction,
        expires: float,
        confirmed: bool,
        now: float,
    ) -> None:
        """Record the share of a target that a holder delegates."""
        owned = self._find(target_id, now)
        if owned is not None:
            owned.ledger.delegate(holder, share, expires, confirmed)

    def report(
        self, target_id: str, holder: str, report: HolderReport, now: float
    ) -> None:
        """Add a holder's report to the ledger of the target."""
        owned = self._find(target_id, now)
        if owned is not None:
            owned.ledger.report(holder, report, now)

    def record_answers(self, report: SlotReport, holder: str) -> None:
        """Add the answers that a holder got since its last report to the warm-up."""
        owned = self._owned.get(report.target_id)
        if owned is None:
            return
        answer_totals = (report.answers, report.errors, report.first_byte_ms)
        last = owned.answer_totals.get(holder)
        owned.answer_totals[holder] = answer_totals
        # Totals before the first report to this owner describe an earlier period.
        if last is None or any(
            new < old for new, old in zip(answer_totals, last, strict=True)
        ):
            return
        answers, errors, first_byte_ms = (
            new - old for new, old in zip(answer_totals, last, strict=True)
        )
        owned.warmup.note_answers(answers, errors, first_byte_ms / 1000)

    def allot(
        self, holder: str, target_ids: Sequence[str], book: AllowanceBook, now: float
    ) -> list[AllowanceItem]:
        """Return the new allowances of the holder for the given targets."""
        items = []
        for target_id in target_ids:
            owned = self._find(target_id, now)
            if owned is None:
                continue
            owned.warmup.tick(now)
            terms = self._make_terms(target_id, owned, book, now)
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
        """Return, by waiting holder, the targets of which it can now get more slots."""
        unmet: dict[str, list[str]] = {}
        for target_id in target_ids:
            owned = self._owned.get(target_id)
            if owned is None:
                continue
            terms = self._make_terms(target_id, owned, book, now)
            for holder in owned.ledger.list_unmet(terms, now):
                unmet.setdefault(holder, []).append(target_id)
        return unmet

    def forget_holder(self, holder: str) -> None:
        """Delete the state of a holder that has restarted."""
        for owned in self._owned.values():
            owned.ledger.remove_holder(holder)
            owned.answer_totals.pop(holder, None)

    def clean_up(self, now: float, is_gone: Callable[[str], bool]) -> None:
        """Delete holders that have left and ledgers that are not in use."""
        for target_id, owned in list(self._owned.items()):
            for holder in owned.ledger.list_holders():
                if is_gone(holder):
                    owned.ledger.remove_holder(holder)
                    owned.answer_totals.pop(holder, None)
            if owned.ledger.is_idle(now):
                del self._owned[target_id]

    def _find(self, target_id: str, now: float) -> _OwnedTarget | None:
        owned = self._owned.get(target_id)
        if owned is not None:
            return owned
        declaration = self.declarations.get(target_id)
        if declaration is None:
            return None
        hold_until = max(self._hold_until, now + self._lease_seconds)
        owned = _OwnedTarget(
            SlotLedger(self._lease_seconds, hold_until),
            Warmup(declaration.state.slots, declaration.cold_slots, now),
        )
        self._owned[target_id] = owned
        return owned

    def _make_terms(
        self, target_id: str, owned: _OwnedTarget, book: AllowanceBook, now: float
    ) -> Terms:
        declaration = self.declarations[target_id]
        self._update_silent_holders(owned, now)
        fresh = now - owned.probed_at <= self._probe_valid_seconds
        usable = owned.ready and fresh and self.config_current
        usable = usable and not declaration.state.leaving
        load_cap = None
        if declaration.balanced:
            load_cap = self._compute_load_cap(declaration.state, book, now)
        return Terms(
            limit=owned.warmup.limit,
            usable=usable,
            cold=owned.warmup.cold,
            load_cap=load_cap,
            foreign=_count_unattributed_slots(owned),
        )

    def _compute_load_cap(
        self, state: TargetState, book: AllowanceBook, now: float
    ) -> float | None:
        """Return multiple x mean load over the ready targets of the pool.

        None if no other target is ready, as there is nothing to compare with. The
        cap is at least one request of the greatest weight, because whole requests
        cannot be spread more evenly at a lower mean.
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
        """Return the last known load of a ready target in slots, or None."""
        owned = self._owned.get(target_id)
        if owned is not None and owned.ledger.is_serving(now):
            return _count_load(owned, allowance, now)
        if allowance is None or now > allowance.expires + LOAD_RETENTION_SECONDS:
            return None
        return allowance.load if allowance.ready else None


def _count_load(owned: _OwnedTarget, last: Allowance | None, now: float) -> int:
    """Return the load of an owned target in slots.

    Until the holders have had time to report, the load that the previous owner
    published counts; a load of 0 would lower the mean and thus the cap of the pool.
    """
    # Requests of a silent holder end if it has failed and continue if it is only
    # unreachable; the target's own report shows which.
    silent_load = min(
        owned.ledger.count_silent_load(now), _count_unattributed_slots(owned)
    )
    load = owned.ledger.count_load(now) + silent_load
    if last is None or owned.ledger.is_settled(now):
        return load
    return max(load, last.load)


def _count_unattributed_slots(owned: _OwnedTarget) -> int:
    """Return the slots that requests of unknown instances may occupy."""
    if len(owned.unattributed) < UNATTRIBUTED_PROBES:
        return owned.warmup.limit
    return _MAX_WEIGHT * min(owned.unattributed)
