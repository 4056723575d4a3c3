"""Start of the copy of one late call."""

from carobladder.forwarding.choices import TargetChoice
from carobladder.forwarding.hedging import HedgePolicy, WithholdReason
from carobladder.forwarding.partguard import PartGuard
from carobladder.forwarding.sends import ForwardedCall
from carobladder.forwarding.tracking import SendTracker, TrackedSend

__all__ = ["CopyStarter"]


class CopyStarter:
    """Checks of one call before its copy, of which there is at most one."""

    def __init__(
        self,
        call: ForwardedCall,
        policy: HedgePolicy,
        sends: SendTracker,
        choice: TargetChoice,
        guard: PartGuard,
    ) -> None:
        self.policy = policy
        self._call = call
        self._sends = sends
        self._choice = choice
        self._guard = guard
        self._has_copy = False

    def may_start(self) -> bool:
        """Return whether the send that has begun may still get a copy.

        A call that a target may have run before is a retry, and its attempts may not
        suffice for a copy. So nothing of its answer has reached its caller either.
        """
        if self._has_copy or self._sends.possible_runs:
            return False
        return self.policy.is_eligible(self._call)

    def start(self, first: TrackedSend) -> TrackedSend | WithholdReason:
        """Begin and charge a copy of a late send; return it, or why there is none."""
        if first.opened is not None and first.opened.begun_at:
            return WithholdReason.ANSWERING
        reason = self.policy.find_reason(self._call)
        if reason is not None:
            return reason
        if not self._guard.may_copy(first.target):
            return WithholdReason.PROMPT_PART
        unfit = self.policy.list_unfit(self._call, first.target, first.sent_at)
        target = self._choice.choose_copy(unfit)
        if target is None:
            return WithholdReason.NO_TARGET
        if not self.policy.withdraw(self._call):
            return WithholdReason.BUDGET
        self._has_copy = True
        return self._sends.begin(target)
