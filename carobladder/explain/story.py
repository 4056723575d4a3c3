"""Selection of the events that concern one request."""

from collections.abc import Iterable
from dataclasses import dataclass

from carobladder.explain.lines import LogLine

__all__ = ["Story", "StoryStep", "explain_request"]

# Events of one matter replace each other.
_TARGET_EVENTS = {
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
_KNOWLEDGE_EVENTS = {
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
class StoryStep:
    """Carry an event; ``belief`` marks one that a later decision rested on."""

    line: LogLine
    belief: bool


@dataclass(frozen=True, slots=True)
class Story:
    """Carry the steps of a request and the cause of its end."""

    request_id: str
    steps: tuple[StoryStep, ...]
    cause: str


def explain_request(request_id: str, lines: Iterable[LogLine]) -> Story:
    """Return what happened to a request, with the beliefs that decided it.

    The order within an instance is that of its lines, since its clock may have
    been set; instances are ordered by the time of their first line.
    """
    kept = list(lines)
    own = [line for line in kept if line.fields.get("request_id") == request_id]
    beliefs = _find_beliefs(own, kept)
    steps = [StoryStep(line, False) for line in own]
    steps += [StoryStep(line, True) for line in beliefs]
    starts: dict[str, str] = {}
    for line in own:
        starts[line.instance] = min(starts.get(line.instance, line.time), line.time)
    steps.sort(
        key=lambda step: (
            starts[step.line.instance],
            step.line.instance,
            step.line.order,
        )
    )
    return Story(request_id, tuple(steps), _find_cause(own))


def _find_beliefs(own: list[LogLine], lines: list[LogLine]) -> list[LogLine]:
    """Return the newest event of each matter before the request's own events."""
    last_own: dict[tuple[str, int], int] = {}
    targets: dict[tuple[str, int], set[str]] = {}
    for line in own:
        last_own[line.run] = max(last_own.get(line.run, -1), line.order)
        target = line.fields.get("target")
        if target:
            targets.setdefault(line.run, set()).add(str(target))
    newest: dict[tuple[tuple[str, int], str], LogLine] = {}
    for line in lines:
        limit = last_own.get(line.run)
        if limit is None or line.order >= limit:
            continue
        matter = _KNOWLEDGE_EVENTS.get(line.event)
        target = str(line.fields.get("target", ""))
        known = targets.get(line.run, ())
        if line.event in _TARGET_EVENTS and target in known:
            matter = f"{_TARGET_EVENTS[line.event]} {target}"
        if matter is not None:
            newest[line.run, matter] = line
    return list(newest.values())


def _find_cause(own: list[LogLine]) -> str:
    """Return the cause of the request's end in one line."""
    if not own:
        return "no line of this request was found"
    last = own[-1]
    fields = last.fields
    if last.event == "request_refused":
        return f"refused with {fields.get('status')}: {fields.get('why')}"
    if last.event == "stream_broken":
        return f"its stream was cut: {fields.get('why')}"
    if last.event == "caller_left":
        return f"the caller left after {fields.get('seconds')} s"
    if last.event == "request_answered":
        return (
            f"answered with {fields.get('status')} by {fields.get('target')} "
            f"after {fields.get('seconds')} s"
        )
    return f"no end was logged; the last event is {last.event}: the instance ended"
