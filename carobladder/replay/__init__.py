"""Recorded traces of an instance's inputs and their replay in virtual time."""

from carobladder.replay.comparison import Comparison, replay_trace
from carobladder.replay.events import (
    Bounds,
    Outcome,
    TraceError,
    read_outcomes,
    read_trace,
    write_lines,
)
from carobladder.replay.player import Summary, TracePlayer
from carobladder.replay.recorder import TraceRecorder

__all__ = [
    "Bounds",
    "Comparison",
    "Outcome",
    "Summary",
    "TraceError",
    "TracePlayer",
    "TraceRecorder",
    "read_outcomes",
    "read_trace",
    "replay_trace",
    "write_lines",
]
