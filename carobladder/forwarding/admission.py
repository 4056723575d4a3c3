"""Admission of calls to services whose targets are overloaded."""

import math
from collections.abc import Callable, Iterable

from carobladder.exceptions import OverloadedError
from carobladder.fleet import CallMetadata, FleetTarget
from carobladder.forwarding.attempts import OpenCall
from carobladder.forwarding.choices import TargetChoice
from carobladder.forwarding.sends import ForwardedCall
from carobladder.limits.cache import CacheUse
from carobladder.limits.lines import WaitingLines
from carobladder.limits.shedding import (
    AdmissionRequest,
    RefusalReason,
    ServiceAdmission,
    TargetPlaces,
    count_free_slots,
)
from carobladder.telemetry import ForwardMetrics, RequestShed, emit

__all__ = ["AdmissionControl"]

# Stated loads older than this are not used; the estimate has decayed by then.
_MAX_LOAD_AGE_SECONDS = 2.5
# Time until a refused caller may return; it is spread when the refusal is written.
_RETRY_SECONDS = 0.25


class AdmissionControl:
    """Admission to all services, and the order of their waiting requests.

    Without ``is_enabled``, and to services that ``applies`` does not name, all calls
    are sent. ``now`` is in monotonic seconds.
    """

    def __init__(
        self,
        metrics: ForwardMetrics,
        *,
        is_enabled: bool = True,
        applies: Callable[[str], bool] = lambda service: True,
    ) -> None:
        self.lines = WaitingLines()
        self._metrics = metrics
        self.is_enabled = is_enabled
        self._applies = applies
        self._services: dict[str, ServiceAdmission] = {}
        self._caches: dict[str, CacheUse] = {}

    def check(self, call: ForwardedCall, choice: TargetChoice, now: float) -> None:
        """Count a call, and raise OverloadedError unless it may be sent now.

        The loads of targets are collected only under pressure, as that takes as long
        as the choice of a target.
        """
        if not self._is_in_use(call):
            return
        admission = self.find(call.service.name)
        places: list[TargetPlaces] = []
        max_slots = self._note_size(call)
        if admission.has_shed(now) or choice.has_full(max_slots):
            places = _list_places(choice.list_candidates(), max_slots, now)
        request = AdmissionRequest(call.priority, call.team, call.deadline - now)
        reason = admission.decide(request, places, now)
        if places:
            self._metrics.observe_pressure(
                call.service.name,
                admission.compute_fill(places, now),
                count_free_slots(places),
            )
        if reason is not None:
            self._report_shed(call, reason, places, now)
            raise OverloadedError(
                f"the call was not run: {call.service.name} is overloaded ({reason})",
                _RETRY_SECONDS,
            )

    def note_refusal(self, call: ForwardedCall, opened: OpenCall, now: float) -> None:
        """Record an answer of a target that has not run the call.

        A target that limits its rate, ends or has free slots refuses for another
        reason than its load.
        """
        facts, target = opened.facts, opened.target
        load = facts.load
        if facts.misdirected or facts.leaving or target.rate_limit is not None:
            return
        if load is not None and load.total < target.entry.slots and not load.waiting:
            return
        stated = None if load is None else float(load.total)
        self.find(call.service.name).note_shed(target.target_id, stated, now)

    def list_full(
        self, call: ForwardedCall, candidates: Iterable[FleetTarget], now: float
    ) -> list[str]:
        """Return the ids of the targets that are known to be full."""
        if not self._is_in_use(call):
            return []
        admission = self.find(call.service.name)
        return [
            place.target_id
            for place in _list_places(candidates, self._compute_max_slots(call), now)
            if admission.is_full(place, now)
        ]

    def note_answer(self, call: ForwardedCall, opened: OpenCall, now: float) -> None:
        """Record a whole answer of a target."""
        load = opened.facts.load
        slots = min(opened.target.entry.slots, self._compute_max_slots(call))
        if load is not None and slots > 0:
            seconds = now - opened.sent_at
            self.find(call.service.name).note_answer(load.total, slots, seconds)

    def note_busy(self, call: ForwardedCall, now: float) -> None:
        """Record a call that is refused as the targets have refused it."""
        self.find(call.service.name).note_refused(call.priority, now)

    def find(self, service: str) -> ServiceAdmission:
        """Return the admission to a service, creating it on first use."""
        admission = self._services.get(service)
        if admission is None:
            admission = ServiceAdmission(self.lines.find_record(service))
            self._services[service] = admission
        return admission

    def _is_in_use(self, call: ForwardedCall) -> bool:
        return self.is_enabled and self._applies(call.service.name)

    def _note_size(self, call: ForwardedCall) -> float:
        """Count the tokens of a call, and return the slots that memory allows."""
        if call.service.kv_cache_tokens:
            use = self._caches.setdefault(call.service.name, CacheUse())
            use.note_request(_count_own_tokens(call.facts))
        return self._compute_max_slots(call)

    def _compute_max_slots(self, call: ForwardedCall) -> float:
        use = self._caches.get(call.service.name)
        return use.compute_slots(call.service.kv_cache_tokens) if use else math.inf

    def _report_shed(
        self,
        call: ForwardedCall,
        reason: RefusalReason,
        places: list[TargetPlaces],
        now: float,
    ) -> None:
        self._metrics.count_shed_request(reason)
        admission = self.find(call.service.name)
        emit(
            RequestShed(
                request_id=call.facts.request_id,
                service=call.service.name,
                team=call.team,
                priority=call.priority,
                reason=reason,
                fill=round(admission.compute_fill(places, now), 2),
                free_slots=round(count_free_slots(places), 1),
                refused_share=round(admission.compute_refused_share(now), 2),
                left_seconds=round(call.deadline - now, 3),
            )
        )


def _count_own_tokens(facts: CallMetadata) -> int:
    """Return the tokens that no other request shares in the cache of an engine."""
    prompt_tokens = facts.prompt[-1].tokens if facts.prompt else facts.input_tokens
    return prompt_tokens + facts.output_tokens


def _list_places(
    candidates: Iterable[FleetTarget], max_slots: float, now: float
) -> list[TargetPlaces]:
    """Return the targets that have stated their load lately.

    None of them has more than ``max_slots``.
    """
    places = []
    for target in candidates:
        latest = target.health.read_latest_load(now)
        load = target.health.estimate_load(now)
        if latest is None or latest[1] > _MAX_LOAD_AGE_SECONDS or load is None:
            continue
        slots = min(target.entry.slots, max_slots)
        if slots > 0:
            places.append(TargetPlaces(target.target_id, load, slots))
    return places
