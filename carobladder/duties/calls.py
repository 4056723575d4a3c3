"""Calls of the holder to the platform's API."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

__all__ = ["CallOutcome", "CallPermit", "DutyApi"]


class CallOutcome(StrEnum):
    """Outcome of a call; ``UNANSWERED`` ones may still be executed later."""

    ACCEPTED = "accepted"
    OUTDATED_TOKEN = "outdated_token"
    LIMITED = "limited"
    REFUSED = "refused"
    UNANSWERED = "unanswered"
    NOT_SENT = "not_sent"


@dataclass(frozen=True, slots=True)
class CallPermit:
    """Holder and token of a call.

    ``confirm`` is asked directly before the call is written, and withholds it if the
    lease is no longer certain.
    """

    holder: str
    token: int
    confirm: Callable[[], bool]


class DutyApi(Protocol):
    """API through which the duties are performed."""

    async def report_usage(
        self, permit: CallPermit, window: int, counts: Mapping[str, int]
    ) -> CallOutcome:
        """Report the counts of a window by team."""

    async def order_targets(
        self, permit: CallPermit, service: str, data_centre: str, count: int
    ) -> CallOutcome:
        """Order the number of targets of a service in a data centre."""
