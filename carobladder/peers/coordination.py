"""Protocol between instances, without input or output of its own.

The coordinator receives messages and returns the messages to send.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from fractions import Fraction

from carobladder.limits.admission import Demand
from carobladder.limits.allowances import Allowance, AllowanceBook
from carobladder.limits.budgets import HolderReport
from carobladder.limits.declarations import TargetDeclaration, TargetLoadReport
from carobladder.membership.delegations import Delegator
from carobladder.membership.ownership import OwnerMap, hash_view
from carobladder.membership.views import ListedInstance, MemberView
from carobladder.peers.freshness import ConfigFreshness
from carobladder.peers.links import Link, Outgoing, PendingAnswer, Timing, ViewSummary
from carobladder.peers.messages import (
    AllowanceItem,
    Allowances,
    EvidenceItem,
    Heartbeat,
    PeerMessage,
    SlotReport,
)
from carobladder.peers.ownedtargets import OwnedTargets
from carobladder.targets import TargetState

__all__ = ["Coordinator"]

HOUSEKEEPING_SECONDS = 1.0
# Factor on the heartbeat interval while neither side uses the other's targets.
IDLE_INTERVAL_FACTOR = 2
# A load report older than this many probe intervals does not prove readiness.
PROBE_VALID_INTERVALS = 2.5


class Coordinator:
    """Protocol state of one instance, both as owner of targets and as holder of slots.

    It combines membership, delegated budget shares, the ledgers of owned targets and
    the book of allowances received. All times are in monotonic seconds of this
    instance. ``demand`` returns the slots that waiting requests need of a target.
    """

    def __init__(
        self,
        own_id: str,
        incarnation: int,
        timing: Timing,
        now: float,
        demand: Callable[[str], Demand] = lambda _: Demand(),
    ) -> None:
        self.own_id = own_id
        self.incarnation = incarnation
        self.timing = timing
        self.book = AllowanceBook()
        self.view = MemberView(
            own_id, timing.lease_seconds, timing.list_window_seconds, now
        )
        self.demand = demand
        self._freshness = ConfigFreshness()
        self.owned = OwnedTargets(
            timing.lease_seconds,
            now + timing.lease_seconds + 2 * timing.heartbeat_seconds,
            timing.load_multiple,
            PROBE_VALID_INTERVALS * timing.probe_seconds,
        )
        self._delegator = Delegator(timing.lease_seconds, now)
        self._owners = OwnerMap()
        self._index: dict[str, list[str]] = {}
        self._index_key: tuple[tuple[str, ...], int] = ((), -1)
        self._links: dict[str, Link] = {}
        self._housekeeping_due = now
        self._own_due = now
        self._own_request_pending = False

    def set_targets(self, declarations: Iterable[TargetDeclaration]) -> None:
        """Replace the declared targets; owners grant no slots of a leaving target."""
        self.owned.set_declarations(declarations)

    @property
    def config_offset(self) -> int:
        """Configuration offset to include in heartbeats."""
        return self._freshness.offset

    def note_config(self, offset: int, now: float) -> None:
        """Record that the configuration was read up to the offset."""
        self._freshness.note_read(offset, now)

    def has_current_config(self, now: float) -> bool:
        """Return whether a configuration change would have reached this instance.

        Without access to the log, this holds while half of the listed instances are
        reachable and none of them has applied a newer change, so that a log outage
        does not stop the service.
        """
        return self._freshness.is_current(now, self.view.hears_half(now))

    def apply_list(self, instances: Sequence[ListedInstance], now: float) -> None:
        """Apply the instances that the platform lists."""
        self.view.apply_list(instances, now)

    def note_probe(
        self, target_id: str, probe: TargetLoadReport | None, now: float
    ) -> None:
        """Record a load report of an owned target; None means no answer."""
        last_allowance = self.book.find(target_id, now)
        self.owned.note_probe(target_id, probe, last_allowance, now)

    def list_owned(self, now: float) -> list[TargetDeclaration]:
        """Return the targets that this instance owns in its own view of the fleet."""
        self._owners.update(self.view.list_live(now))
        return [
            self.owned.declarations[target_id]
            for target_id in self._list_targets_of(self.own_id)
        ]

    def find_target(self, target_id: str, now: float) -> TargetState | None:
        """Return the declared state updated with the owner's report, or None."""
        declaration = self.owned.declarations.get(target_id)
        if declaration is None:
            return None
        allowance = self.book.find(target_id, now)
        if allowance is None:
            return declaration.state
        return replace(
            declaration.state,
            boot_id=allowance.boot_id,
            ready=allowance.ready,
            cold=allowance.cold,
        )

    def ask(self, target_ids: Iterable[str], now: float) -> None:
        """Request slots by sending the next heartbeats to the targets' owners early."""
        self._owners.update(self.view.list_live(now))
        for target_id in target_ids:
            owner = self._owners.find(target_id)
            if owner == self.own_id:
                self._own_request_pending = True
            elif owner is not None and owner in self._links:
                link = self._links[owner]
                link.due = min(link.due, link.last_sent + self.timing.ask_seconds)

    def add_evidence(self, items: Sequence[EvidenceItem]) -> None:
        """Queue evidence for the next heartbeat to each peer."""
        for link in self._links.values():
            link.evidence.extend(items)

    def next_due(self, now: float) -> float:
        """Return the time at which to call ``tick`` next."""
        if self._own_request_pending:
            return now
        dues = [self._own_due]
        for peer in self.view.list_peers():
            link = self._links.get(peer.instance_id)
            dues.append(now if link is None else link.due)
        return min(dues)

    def tick(self, now: float) -> list[Outgoing]:
        """Grant own slots if this is due, and return the heartbeats that are due."""
        if now >= self._housekeeping_due:
            self._housekeeping_due = now + HOUSEKEEPING_SECONDS
            self._clean_up(now)
        self.view.own_uninformed = not self.has_current_config(now)
        self.owned.config_current = not self.view.own_uninformed
        self._owners.update(self.view.list_live(now))
        if self._own_request_pending or now >= self._own_due:
            self._own_request_pending = False
            self._own_due = now + self.timing.heartbeat_seconds
            self._serve_own_targets(now)
        due = []
        for peer in self.view.list_peers():
            link = self._links.setdefault(peer.instance_id, Link(due=now))
            if now >= link.due:
                due.append((peer.instance_id, link))
        if not due:
            return []
        summary = self._summarise_view(now)
        return [
            Outgoing(peer, self._make_heartbeat(peer, link, summary, now))
            for peer, link in due
        ]

    def _summarise_view(self, now: float) -> ViewSummary:
        return ViewSummary(
            listed=self.view.count_listed(now),
            shares=self.view.count_shares(now),
            view_hash=hash_view(self.view.list_live(now)),
            delegating=self.view.may_delegate(now),
            confirmed=self.view.is_confirmed(now),
        )

    def receive(self, message: PeerMessage, now: float) -> list[Outgoing]:
        """Process a heartbeat or allowances and return the messages to send."""
        if isinstance(message, Heartbeat):
            return self._receive_heartbeat(message, now)
        if isinstance(message, Allowances):
            self._receive_allowances(message, now)
        return []

    def _make_heartbeat(
        self, peer: str, link: Link, summary: ViewSummary, now: float
    ) -> Heartbeat:
        reports = [
            self._make_report(target_id, peer, summary.delegating, now)
            for target_id in self._list_targets_of(peer)
        ]
        evidence, link.evidence = link.evidence, []
        answer = self._make_answer(peer, link, now)
        busy = link.peer_busy or any(r.in_flight or r.wanted for r in reports)
        factor = 1 if busy else IDLE_INTERVAL_FACTOR
        link.due = now + factor * self.timing.heartbeat_seconds
        link.last_sent = now
        return Heartbeat(
            sender=self.own_id,
            incarnation=self.incarnation,
            sequence=link.record(now),
            listed=summary.listed,
            view_hash=summary.view_hash,
            config_offset=self.config_offset,
            delegating=summary.delegating,
            reports=reports,
            evidence=evidence,
            echo=link.received_sequence,
            echo_incarnation=link.incarnation,
            confirmed=summary.confirmed,
            leaving=self.view.own_leaving or self.view.own_uninformed,
            shares=summary.shares,
            answer=answer,
        )

    def _make_answer(self, peer: str, link: Link, now: float) -> Allowances | None:
        """Return the answer to the peer's last heartbeat, None if already sent."""
        request, link.pending_answer = link.pending_answer, None
        if request is None:
            return None
        return Allowances(
            sender=self.own_id,
            incarnation=self.incarnation,
            answers=request.sequence,
            items=self.owned.allot(peer, request.target_ids, self.book, now),
            answers_incarnation=request.incarnation,
        )

    def _list_targets_of(self, owner: str) -> list[str]:
        """Return the targets of an owner from an index of the current view."""
        key = (self._owners.members, self.owned.revision)
        if key != self._index_key:
            self._index_key = key
            self._index = {}
            for target_id in self.owned.declarations:
                found = self._owners.find(target_id)
                if found is not None:
                    self._index.setdefault(found, []).append(target_id)
        return self._index.get(owner, [])

    def _make_report(
        self, target_id: str, owner: str, delegating: bool, now: float
    ) -> SlotReport:
        delegated = (
            delegating and self._delegator.choose(target_id, owner, now) == owner
        )
        if delegated:
            self._delegator.mark_sent(target_id, owner, now)
        demand = self.demand(target_id)
        if demand.wanted:
            kept = self.book.count_held(target_id)
        else:
            kept = self.book.release_idle_slots(target_id)
        usage = self.book.get_usage(target_id, owner)
        return SlotReport(
            target_id=target_id,
            in_flight=usage.in_flight,
            wanted=demand.wanted,
            acked=usage.acked,
            delegated=delegated,
            unit=demand.unit,
            answers=usage.answers,
            errors=usage.errors,
            first_byte_ms=usage.first_byte_ms,
            requests=usage.requests,
            kept=kept,
        )

    def _receive_heartbeat(self, message: Heartbeat, now: float) -> list[Outgoing]:
        link = self._links.setdefault(message.sender, Link(due=now))
        if message.incarnation < link.incarnation:
            return []
        if message.incarnation > link.incarnation:
            if link.incarnation:
                self.owned.forget_holder(message.sender)
            link.incarnation = message.incarnation
            link.received_sequence = 0
        if message.sequence <= link.received_sequence:
            return []
        link.received_sequence = message.sequence
        self._freshness.note_peer(message.config_offset, now)
        self.view.record_heartbeat(
            message.sender, message.incarnation, message.listed, message.leaving, now
        )
        self.owned.config_current = self.has_current_config(now)
        earliest_sent = None
        if message.echo_incarnation == self.incarnation:
            earliest_sent = link.find_send_time(message.echo)
        if message.answer is not None:
            self._receive_allowances(message.answer, now)
        if earliest_sent is None or not message.reports:
            return []
        link.peer_busy = any(r.in_flight or r.wanted for r in message.reports)
        self._apply_reports(message, earliest_sent, now)
        reported_ids = [report.target_id for report in message.reports]
        link.pending_answer = PendingAnswer(
            message.sequence, message.incarnation, reported_ids
        )
        outgoing = []
        # An answer that no request waits for is sent with the next heartbeat, which
        # halves the number of messages.
        if any(report.wanted for report in message.reports):
            answer = self._make_answer(message.sender, link, now)
            if answer is not None:
                outgoing.append(Outgoing(message.sender, answer))
        return [*outgoing, *self._grant_freed_slots(reported_ids, now)]

    def _grant_freed_slots(self, target_ids: list[str], now: float) -> list[Outgoing]:
        """Grant slots that a report has freed to the holders that wait for them."""
        outgoing = []
        unmet = self.owned.list_unmet(target_ids, self.book, now)
        for holder, wanted_ids in unmet.items():
            items = self.owned.allot(holder, wanted_ids, self.book, now)
            if holder == self.own_id:
                for item in items:
                    self._apply_allowance(item, holder, self.incarnation, now, now)
                continue
            link = self._links.get(holder)
            if link is None:
                continue
            answer = Allowances(
                sender=self.own_id,
                incarnation=self.incarnation,
                answers=link.received_sequence,
                items=items,
                answers_incarnation=link.incarnation,
            )
            outgoing.append(Outgoing(holder, answer))
        return outgoing

    def _apply_reports(
        self, message: Heartbeat, earliest_sent: float, now: float
    ) -> None:
        share = Fraction(1, max(1, message.listed, message.shares))
        for report in message.reports:
            self._apply_report(
                message.sender, report, share, message.confirmed, earliest_sent, now
            )

    def _apply_report(
        self,
        holder: str,
        report: SlotReport,
        share: Fraction,
        confirmed: bool,
        earliest_sent: float,
        now: float,
    ) -> None:
        if report.delegated:
            expires = earliest_sent + self.timing.lease_seconds
            self.owned.delegate(
                report.target_id, holder, share, expires, confirmed, now
            )
        usage = HolderReport(
            in_flight=max(0, report.in_flight),
            wanted=max(0, report.wanted),
            unit=report.unit,
            acked=report.acked,
            sent_floor=earliest_sent,
            requests=max(0, report.requests),
            kept=max(0, report.kept),
        )
        self.owned.report(report.target_id, holder, usage, now)
        self.owned.record_answers(report, holder)

    def _serve_own_targets(self, now: float) -> None:
        """Apply this instance's own reports and allowances for the targets it owns."""
        delegating = self.view.may_delegate(now)
        share = Fraction(1, self.view.count_shares(now))
        confirmed = self.view.is_confirmed(now)
        own_ids = self._list_targets_of(self.own_id)
        for target_id in own_ids:
            report = self._make_report(target_id, self.own_id, delegating, now)
            self._apply_report(self.own_id, report, share, confirmed, now, now)
        items = self.owned.allot(self.own_id, own_ids, self.book, now)
        for item in items:
            self._apply_allowance(item, self.own_id, self.incarnation, now, now)

    def _receive_allowances(self, message: Allowances, now: float) -> None:
        link = self._links.get(message.sender)
        if link is None or message.answers_incarnation != self.incarnation:
            return
        if message.incarnation < link.incarnation:
            return
        sent = link.find_send_time(message.answers)
        if sent is None:
            return
        for item in message.items:
            if self._owners.find(item.target_id) == message.sender:
                self._apply_allowance(
                    item, message.sender, message.incarnation, sent, now
                )

    def _apply_allowance(
        self,
        item: AllowanceItem,
        owner: str,
        incarnation: int,
        sent: float,
        now: float,
    ) -> None:
        expires = sent + self.timing.lease_seconds
        if now >= expires:
            return
        allowance = Allowance(
            target_id=item.target_id,
            owner=owner,
            incarnation=incarnation,
            sequence=item.sequence,
            slots=item.slots,
            expires=expires,
            ready=item.ready,
            cold=item.cold,
            boot_id=item.boot_id,
            load=item.load,
            limit=item.limit,
            contended=item.contended,
        )
        previous = self.book.find(item.target_id, now)
        self.book.apply(allowance, now)
        # The owner counts the larger allowance until the next heartbeat acknowledges
        # this one, so that heartbeat is sent early.
        reduced = previous is not None and previous.slots > item.slots
        if item.contended and reduced:
            self.ask([item.target_id], now)

    def _clean_up(self, now: float) -> None:
        targets = set(self.owned.declarations)
        self._owners.prune(targets)
        self._delegator.prune(targets, now)
        self.book.prune(targets)
        self.owned.clean_up(now, lambda name: self.view.is_gone(name, now))
        self.view.prune(now)
        for peer in [name for name in self._links if self.view.is_gone(name, now)]:
            del self._links[peer]
