"""Data centre moves that are required by maintenance windows."""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta

from carobladder.instance.movemonitor import list_moves
from carobladder.moves.datacentres import DataCentreMoveState, DataCentrePhase
from carobladder.resources import Catalog, DataCentreMoveSpec, DataCentreSpec, Window

__all__ = ["WindowMove", "plan_window_moves"]

# A data centre starts to leave this long, plus its drain time, before the window.
_START_MARGIN = timedelta(minutes=10)
_RETURN_DURATION = timedelta(hours=1)


@dataclass(frozen=True, slots=True)
class WindowMove:
    """A move to declare.

    The name depends only on the data centre and the window, so that a move is
    declared once.
    """

    name: str
    spec: DataCentreMoveSpec


def plan_window_moves(catalog: Catalog, now: datetime) -> list[WindowMove]:
    """Return the moves that are due but not declared yet."""
    planned: list[WindowMove] = []
    for resource in catalog.list_kind("data-centre"):
        if isinstance(resource.spec, DataCentreSpec):
            planned += _plan_data_centre(catalog, resource.name, resource.spec, now)
    return [
        move for move in planned if catalog.get("data-centre-move", move.name) is None
    ]


def _plan_data_centre(
    catalog: Catalog, name: str, spec: DataCentreSpec, now: datetime
) -> Iterator[WindowMove]:
    for window in spec.windows:
        leave = _make_leave(name, window)
        lead_time = timedelta(seconds=leave.spec.drain_seconds) + _START_MARGIN
        if window.start - lead_time <= now < window.end:
            yield leave
        elif window.end <= now and _was_emptied(catalog, leave.name):
            yield _make_return(name, window)


def _make_leave(name: str, window: Window) -> WindowMove:
    move = f"{name[:40]}-leave-{window.start:%Y%m%d%H%M%S}"
    spec = DataCentreMoveSpec(
        finish_by=window.start, data_centre=name, direction="leave"
    )
    return WindowMove(move, spec)


def _make_return(name: str, window: Window) -> WindowMove:
    move = f"{name[:40]}-return-{window.end:%Y%m%d%H%M%S}"
    spec = DataCentreMoveSpec(
        finish_by=window.end + _RETURN_DURATION, data_centre=name, direction="return"
    )
    return WindowMove(move, spec)


def _was_emptied(catalog: Catalog, leave: str) -> bool:
    """Return whether the data centre is empty and the window's leave its newest move.

    A data centre that an operator has moved since then is left to the operator.
    """
    newest: dict[str, DataCentreMoveState] = {}
    for move in list_moves(catalog):
        if isinstance(move.state, DataCentreMoveState):
            newest[move.state.spec.data_centre] = move.state
    return any(
        state.move_id == leave and state.phase is DataCentrePhase.EMPTY
        for state in newest.values()
    )
