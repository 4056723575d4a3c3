"""The ``replay`` subcommand."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from carobladder.replay.comparison import replay_trace
from carobladder.replay.events import TraceError

__all__ = ["ReplayCommand"]

_DIFFERENT_STATUS = 1
_UNREADABLE_STATUS = 2


@cappa.command(
    name="replay",
    help="Repeat the decisions of a recorded trace and compare them.",
)
@dataclass
class ReplayCommand:
    """Repeat the decisions of a recorded trace and compare them."""

    trace: Annotated[Path, cappa.Arg(help="trace; its outcomes are beside it")]
    outcomes: Annotated[
        Path | None, cappa.Arg(long=True, help="stated outcomes of another place")
    ] = None

    def __call__(self) -> None:
        """Print the counts and the first differences."""
        try:
            comparison = replay_trace(self.trace, self.outcomes)
        except TraceError as error:
            raise cappa.Exit(str(error), code=_UNREADABLE_STATUS) from error
        summary = comparison.summary
        for line in comparison.differences:
            print(line)
        print(
            f"{comparison.decisions} decisions, {comparison.difference_count} "
            f"differences; {summary.requests} chats, {summary.refused} refused, "
            f"reuse {summary.reuse:.3f}, {len(summary.sends)} bookings, "
            f"{summary.doubled_bookings} doubled"
        )
        if not comparison.agrees:
            raise cappa.Exit(code=_DIFFERENT_STATUS)
