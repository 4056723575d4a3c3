"""History of one request: its own events and the state that affected it."""

from collections.abc import Iterable
from dataclasses import dataclass

from carobladder.explain.lines import LogLine

__all__ = ["HistoryStep", "RequestHistory", "explain_request"]

# Topic of each context event. Only the newest event of a topic is in the history,
# since it supersedes the earlier ones.
_TARGET_TOPICS = {
    "target_seen": "target",
    "target_changed": "target",
    "target_gone": "target",
    "target_suspected": "target",
    "target_trusted": "target",
    "target_checked": "target",
    "target_entry_unreadable": "target",
    "target_leaving": "leaving of target",
    "target_paused": "pause of target",
    "target_doubted": "doubt of target",
}
_INSTANCE_TOPICS = {
    "configuration_in_force": "configuration",
    "store_lost": "store",
    "store_regained": "store",
    "store_history_dropped": "store",
    "fence_closed": "fence",
    "fence_opened": "fence",
    "share_changed": "share",
    "draining": "instance",
    "instance_started": "instance",
}


@dataclass(frozen=True, slots=True)
class HistoryStep:
    """Event in the history of a request.

    ``is_context`` marks an event that is not the request's own, but shows the state
    on which a later decision was based.
    """

    line: LogLine
    is_context: bool


@dataclass(frozen=True, slots=True)
class RequestHistory:
    """Ordered events of a request and the cause of its outcome."""

    request_id: str
    steps: tuple[HistoryStep, ...]
    cause: str


def explain_request(request_id: str, lines: Iterable[LogLine]) -> RequestHistory:
    """Return the events of a request and the context events that affected it.

    The events of an instance are in the order of its lines, since its clock may
    have been adjusted; instances are ordered by the time of their first event of the
    request.
    """
    all_lines = list(lines)
    own_lines = [
        line for line in all_lines if line.fields.get("request_id") == request_id
    ]
    context = _select_context(own_lines, all_lines)
    steps = [HistoryStep(line, False) for line in own_lines]
    steps += [HistoryStep(line, True) for line in context]
    first_times: dict[str, str] = {}
    for line in own_lines:
        first_times[line.instance] = min(
            first_times.get(line.instance, line.time), line.time
        )
    steps.sort(
        key=lambda step: (
            first_times[step.line.instance],
            step.line.instance,
            step.line.order,
        )
    )
    return RequestHistory(request_id, tuple(steps), _find_cause(own_lines))


def _select_context(own_lines: list[LogLine], lines: list[LogLine]) -> list[LogLine]:
    """Return the newest event of each topic before the last event of the request.

    Only events of the same run of an instance are considered. Events about targets are
    considered only if the request's own events name the target.
    """
    last_own: dict[tuple[str, int], int] = {}
    targets: dict[tuple[str, int], set[str]] = {}
    for line in own_lines:
        last_own[line.run_id] = max(last_own.get(line.run_id, -1), line.order)
        target = line.fields.get("target")
        if target:
            targets.setdefault(line.run_id, set()).add(str(target))
    newest: dict[tuple[tuple[str, int], str], LogLine] = {}
    for line in lines:
        last_order = last_own.get(line.run_id)
        if last_order is None or line.order >= last_order:
            continue
        topic = _INSTANCE_TOPICS.get(line.event)
        target = str(line.fields.get("target", ""))
        run_targets = targets.get(line.run_id, ())
        if line.event in _TARGET_TOPICS and target in run_targets:
            topic = f"{_TARGET_TOPICS[line.event]} {target}"
        if topic is not None:
            newest[line.run_id, topic] = line
    return list(newest.values())


def _find_cause(own_lines: list[LogLine]) -> str:
    """Return the cause of the outcome of the request in one line."""
    if not own_lines:
        return "no line of this request was found"
    last = own_lines[-1]
    fields = last.fields
    if last.event == "request_refused":
        return f"refused with {fields.get('status')}: {fields.get('why')}"
    if last.event == "stream_broken":
        return f"its stream was cut: {fields.get('why')}"
    if last.event == "caller_left":
        return f"the caller disconnected after {fields.get('seconds')} s"
    if last.event == "request_answered":
        return (
            f"answered with {fields.get('status')} by {fields.get('target')} "
            f"after {fields.get('seconds')} s"
        )
    return f"no end was logged; the last event is {last.event}: the instance ended"
