"""Term and lease of the instance that performs the duties."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

import msgspec

from carobladder.duties.records import (
    USAGE_SLOTS,
    DutyLog,
    Term,
    UsageRecord,
    build_token,
    encode_term,
    encode_usage,
    read_log,
)
from carobladder.fleet.records import KeyedPage

__all__ = ["DutyLease", "DutyWrite"]

# Allows for the resolution of the clocks of two instances, which both run at the rate
# of the same kind of quartz: 100 ppm of the lease is far below this.
_MARGIN_SECONDS = 0.05
_FIRST_NUMBER = 1
_TERM_NUMBER_MASK = 2**32 - 1


@dataclass(frozen=True, slots=True)
class DutyWrite:
    """Append to the topic on the condition that it ends at ``expected_end``.

    ``log`` is what the topic contains if the append is accepted in the era of ``log``.
    """

    expected_end: int
    records: tuple[tuple[str, bytes], ...]
    log: DutyLog


class DutyLease:
    """State machine of the term of this run of an instance.

    All times are in seconds of a clock that also counts while the machine is
    suspended. A term is proved by an append that the store accepted, or by a read, and
    the lease lasts ``lease_seconds`` from the moment at which that call was sent. At
    most one call to the topic may be under way.
    """

    def __init__(self, instance: str, run: int, lease_seconds: float) -> None:
        self._instance = instance
        self._run = run
        self._lease_seconds = lease_seconds
        # None while it is unknown what the topic contains.
        self.log: DutyLog | None = None
        self._era: int | None = None
        self.era_heard_at = 0.0
        self._term: Term | None = None
        # Term of this run whose append has got no answer.
        self._unanswered: Term | None = None
        # Log of the era before, if nobody else can have written to its end.
        self._carried: DutyLog | None = None
        self._ready_at = float("inf")
        self._proved_at = float("-inf")

    @property
    def token(self) -> int | None:
        """Token of this run's term, None if it has none."""
        return self._term.token if self._term else None

    @property
    def is_holder(self) -> bool:
        """Whether this run has a term that it does not know to have ended."""
        return self._term is not None

    def is_ready(self, now: float) -> bool:
        """Return whether the lease of the former holder is over."""
        return self._term is not None and now >= self._ready_at

    def read_wait(self, now: float) -> float:
        """Return the seconds until the lease of the former holder is over."""
        return max(0.0, self._ready_at - now)

    def may_call(self, now: float, call_seconds: float) -> bool:
        """Return whether a call that takes ``call_seconds`` at most may be sent.

        The term must have been proved after the former holder's lease was over. Else
        a third holder may have waited at the same time.
        """
        if self._term is None or self._proved_at < self._ready_at:
            return False
        ends_at = self._proved_at + self._lease_seconds - _MARGIN_SECONDS
        return now + call_seconds <= ends_at

    def read_page(self, page: KeyedPage, sent_at: float, now: float) -> bool:
        """Apply the newest records of the topic; return False if they are outdated."""
        if not self.note_era(page.era or 0, now):
            return False
        log = self.log = read_log(page)
        if log.term is not None and log.term == self._unanswered:
            self._begin_term(log.term, now)
        self._unanswered = None
        if self._term is not None and not _is_same_term(self._term, log.term):
            self._end_term()
        elif self._term is not None:
            self._proved_at = max(self._proved_at, sent_at)
        return True

    def note_era(self, era: int, now: float) -> bool:
        """End the term if the store was restored; return False for an earlier era."""
        if self._era is not None and era < self._era:
            return False
        if self._era is None or era > self._era:
            lease_ends_at = self._proved_at + self._lease_seconds - _MARGIN_SECONDS
            is_certain = self._proved_at >= self._ready_at and now < lease_ends_at
            self._carried = self.log if is_certain else None
            self._era = era
            self.era_heard_at = now
            self.log = None
            self._unanswered = None
            self._end_term()
        return True

    def plan_term(self, first_window: int) -> DutyWrite:
        """Return the append of a new term.

        ``first_window`` is the oldest window that had not ended when this instance
        heard of the era of the store; see ``era_heard_at``.
        """
        log = self._require_log()
        before = log.term
        usage: Mapping[int, UsageRecord] = log.usage
        floor, number, waited = first_window, _FIRST_NUMBER, True
        if before is not None:
            floor = before.floor
            number = (before.token & _TERM_NUMBER_MASK) + 1
            waited = not (before.released and before.waited)
        elif self._carried is not None and self._carried.term is not None:
            floor, usage = self._carried.term.floor, self._carried.usage
        token = build_token(log.era, number)
        term = Term(token, self._instance, self._run, waited, floor)
        records = [encode_term(term)]
        if before is None:
            records += [encode_usage(log.era, record) for record in usage.values()]
            records += [(key, b"") for key in log.outdated_keys]
        after = replace(
            log, end=log.end + len(records), term=term, usage=usage, outdated_keys=()
        )
        self._unanswered = term
        return DutyWrite(log.end, tuple(records), after)

    def plan_proof(self) -> DutyWrite:
        """Return an append that proves the term."""
        return self._plan(encode_term(self._require_term()))

    def plan_usage(self, window: int, counts: Mapping[str, int]) -> DutyWrite | None:
        """Return the append of a window's counts, None if it may not be recorded."""
        log, term = self._require_log(), self._require_term()
        if not log.may_record(window):
            return None
        record = UsageRecord(window, term.token, dict(counts))
        write = self._plan(encode_usage(log.era, record))
        usage = {**log.usage, window % USAGE_SLOTS: record}
        return replace(write, log=replace(write.log, usage=usage))

    def plan_release(self, now: float, *, is_certain: bool) -> DutyWrite:
        """End the term and return the append that tells so.

        The next holder waits if ``is_certain`` is false, since a call of this term may
        still be executed. It also waits if this one has not waited to the end, since
        the holder before may still act.
        """
        released = is_certain and self.is_ready(now)
        term = msgspec.structs.replace(self._require_term(), released=released)
        write = self._plan(encode_term(term))
        self._end_term()
        return replace(write, log=replace(write.log, term=term))

    def note_accepted(
        self, write: DutyWrite, era: int | None, sent_at: float, now: float
    ) -> None:
        """Apply an append that the store accepted in an era."""
        self.note_era(era or 0, now)
        if (era or 0) != write.log.era or self._era != write.log.era:
            # The end of the topic in another era was the same by coincidence.
            self.log = None
            return
        self.log = write.log
        term = write.log.term
        if term is not None and term == self._unanswered:
            self._unanswered = None
            self._carried = None
            self._begin_term(term, now)
        elif self._term is not None and _is_same_term(self._term, term):
            self._proved_at = max(self._proved_at, sent_at)

    def note_unknown(self) -> None:
        """Record that an append was refused or has got no answer; read again."""
        self.log = None

    def note_refused(self, token: int) -> None:
        """End the term if the platform has seen a higher token."""
        if self.token == token:
            self._end_term()

    def note_higher_token(self, token: int) -> None:
        """End the term if another instance is known to have a higher token."""
        if self._term is not None and self._term.token < token:
            self._end_term()

    def _plan(self, record: tuple[str, bytes]) -> DutyWrite:
        log = self._require_log()
        return DutyWrite(log.end, (record,), replace(log, end=log.end + 1))

    def _begin_term(self, term: Term, now: float) -> None:
        """Begin a term whose append is known to be in the store since ``now``."""
        self._term = term
        wait_seconds = self._lease_seconds + _MARGIN_SECONDS if term.waited else 0.0
        self._ready_at = now + wait_seconds
        self._proved_at = float("-inf")

    def _end_term(self) -> None:
        self._term = None
        self._ready_at = float("inf")
        self._proved_at = float("-inf")

    def _require_log(self) -> DutyLog:
        assert self.log is not None, "read the topic first"
        return self.log

    def _require_term(self) -> Term:
        assert self._term is not None, "this instance is not the holder"
        return self._term


def _is_same_term(term: Term, other: Term | None) -> bool:
    return (
        other is not None
        and not other.released
        and (term.token, term.holder, term.run)
        == (other.token, other.holder, other.run)
    )
