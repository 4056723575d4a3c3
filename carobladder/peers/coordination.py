"""Protocol between instances as pure code: messages in, messages out."""

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
from carobladder.peers.currency import ConfigCurrency
from carobladder.peers.links import Link, Outgoing, Timing, Unanswered, ViewFacts
from carobladder.peers.messages import (
    AllowanceItem,
    Allowances,
    EvidenceItem,
    Heartbeat,
    PeerMessage,
    Report,
)
from carobladder.peers.ownerside import OwnedTargets
from carobladder.targets import TargetState

__all__ = ["Coordinator"]

HOUSEKEEPING_SECONDS = 1.0
# Heartbeats to a peer are this much rarer while neither side uses the other's targets.
IDLE_FACTOR = 2
# A load report older than this many intervals no longer shows a target as ready.
PROBE_INTERVALS = 2.5


class Coordinator:
    """Combine membership, delegations, ledgers and the holder's book."""

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
        self._currency = ConfigCurrency()
        self.owned = OwnedTargets(
            timing.lease_seconds,
            now + timing.lease_seconds + 2 * timing.heartbeat_seconds,
            timing.load_multiple,
            PROBE_INTERVALS * timing.probe_seconds,
        )
        self._delegator = Delegator(timing.lease_seconds, now)
        self._owners = OwnerMap()
        self._index: dict[str, list[str]] = {}
        self._index_key: tuple[tuple[str, ...], int] = ((), -1)
        self._links: dict[str, Link] = {}
        self._housekeeping_due = now
        self._own_due = now
        self._own_asked = False

    def set_targets(self, declarations: Iterable[TargetDeclaration]) -> None:
        """Take the declared targets; an owner allots nothing to a leaving one."""
        self.owned.set_declarations(declarations)

    @property
    def config_offset(self) -> int:
        """Return the configuration offset that heartbeats carry."""
        return self._currency.offset

    def note_config(self, offset: int, now: float) -> None:
        """Note that the configuration was read up to the offset."""
        self._currency.note_read(offset, now)

    def is_informed(self, now: float) -> bool:
        """Tell whether a configuration change would have reached this instance.

        Without the log it goes on while it hears half of the listed instances and
        none of them has applied a newer change, so that a log outage stops nothing.
        """
        return self._currency.is_current(now, self.view.hears_half(now))

    def apply_list(self, instances: Sequence[ListedInstance], now: float) -> None:
        """Take an answer of the platform's list."""
        self.view.apply_list(instances, now)

    def note_probe(
        self, target_id: str, probe: TargetLoadReport | None, now: float
    ) -> None:
        """Take a load report of an owned target; None means no answer."""
        known = self.book.find(target_id, now)
        self.owned.note_probe(target_id, probe, known, now)

    def list_owned(self, now: float) -> list[TargetDeclaration]:
        """Return the targets that this instance owns by its own view."""
        self._owners.update(self.view.list_live(now))
        return [
            self.owned.declarations[target_id]
            for target_id in self._list_targets_of(self.own_id)
        ]

    def find_target(self, target_id: str, now: float) -> TargetState | None:
        """Return the declared state joined with what the owner reports, or None."""
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
        """Make the heartbeats to the owners of the targets due."""
        self._owners.update(self.view.list_live(now))
        for target_id in target_ids:
            owner = self._owners.find(target_id)
            if owner == self.own_id:
                self._own_asked = True
            elif owner is not None and owner in self._links:
                link = self._links[owner]
                link.due = min(link.due, link.last_sent + self.timing.ask_seconds)

    def add_evidence(self, items: Sequence[EvidenceItem]) -> None:
        """Queue evidence for the next heartbeat to each peer."""
        for link in self._links.values():
            link.evidence.extend(items)

    def next_due(self, now: float) -> float:
        """Return the time of the next call of ``tick``."""
        if self._own_asked:
            return now
        dues = [self._own_due]
        for peer in self.view.list_peers():
            link = self._links.get(peer.instance_id)
            dues.append(now if link is None else link.due)
        return min(dues)

    def tick(self, now: float) -> list[Outgoing]:
        """Return the heartbeats that are due and serve the owned targets."""
        if now >= self._housekeeping_due:
            self._housekeeping_due = now + HOUSEKEEPING_SECONDS
            self._clean_up(now)
        self.view.own_uninformed = not self.is_informed(now)
        self.owned.informed = not self.view.own_uninformed
        self._owners.update(self.view.list_live(now))
        if self._own_asked or now >= self._own_due:
            self._own_asked = False
            self._own_due = now + self.timing.heartbeat_seconds
            self._serve_itself(now)
        due = []
        for peer in self.view.list_peers():
            link = self._links.setdefault(peer.instance_id, Link(due=now))
            if now >= link.due:
                due.append((peer.instance_id, link))
        if not due:
            return []
        facts = self._gather_facts(now)
        return [
            Outgoing(peer, self._beat(peer, link, facts, now)) for peer, link in due
        ]

    def _gather_facts(self, now: float) -> ViewFacts:
        return ViewFacts(
            listed=self.view.count_listed(now),
            shares=self.view.count_shares(now),
            view_hash=hash_view(self.view.list_live(now)),
            delegating=self.view.may_delegate(now),
            confirmed=self.view.is_confirmed(now),
        )

    def receive(self, message: PeerMessage, now: float) -> list[Outgoing]:
        """Take a heartbeat or allowances and return the answers."""
        if isinstance(message, Heartbeat):
            return self._receive_heartbeat(message, now)
        if isinstance(message, Allowances):
            self._receive_allowances(message, now)
        return []

    def _beat(self, peer: str, link: Link, facts: ViewFacts, now: float) -> Heartbeat:
        reports = [
            self._report(target_id, peer, facts.delegating, now)
            for target_id in self._list_targets_of(peer)
        ]
        evidence, link.evidence = link.evidence, []
        answer = self._answer(peer, link, now)
        busy = link.peer_busy or any(r.in_flight or r.wanted for r in reports)
        factor = 1 if busy else IDLE_FACTOR
        link.due = now + factor * self.timing.heartbeat_seconds
        link.last_sent = now
        return Heartbeat(
            sender=self.own_id,
            incarnation=self.incarnation,
            sequence=link.record(now),
            listed=facts.listed,
            view_hash=facts.view_hash,
            config_offset=self.config_offset,
            delegating=facts.delegating,
            reports=reports,
            evidence=evidence,
            echo=link.heard_sequence,
            echo_incarnation=link.incarnation,
            confirmed=facts.confirmed,
            leaving=self.view.own_leaving or self.view.own_uninformed,
            shares=facts.shares,
            answer=answer,
        )

    def _answer(self, peer: str, link: Link, now: float) -> Allowances | None:
        """Return the answer to the peer's last heartbeat if it has none yet."""
        request, link.unanswered = link.unanswered, None
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
        """Return the targets of an owner from an index of the present view."""
        key = (self._owners.members, self.owned.revision)
        if key != self._index_key:
            self._index_key = key
            self._index = {}
            for target_id in self.owned.declarations:
                found = self._owners.find(target_id)
                if found is not None:
                    self._index.setdefault(found, []).append(target_id)
        return self._index.get(owner, [])

    def _report(
        self, target_id: str, owner: str, delegating: bool, now: float
    ) -> Report:
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
        return Report(
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
            link.heard_sequence = 0
        if message.sequence <= link.heard_sequence:
            return []
        link.heard_sequence = message.sequence
        self._currency.note_peer(message.config_offset, now)
        self.view.record_heartbeat(
            message.sender, message.incarnation, message.listed, message.leaving, now
        )
        self.owned.informed = self.is_informed(now)
        floor = None
        if message.echo_incarnation == self.incarnation:
            floor = link.find_sent(message.echo)
        if message.answer is not None:
            self._receive_allowances(message.answer, now)
        if floor is None or not message.reports:
            return []
        link.peer_busy = any(r.in_flight or r.wanted for r in message.reports)
        self._take_reports(message, floor, now)
        known = [report.target_id for report in message.reports]
        link.unanswered = Unanswered(message.sequence, message.incarnation, known)
        outgoing = []
        # Answers that nothing waits for ride on the next heartbeat, which halves
        # the number of messages.
        if any(report.wanted for report in message.reports):
            answer = self._answer(message.sender, link, now)
            if answer is not None:
                outgoing.append(Outgoing(message.sender, answer))
        return [*outgoing, *self._serve_unmet(known, now)]

    def _serve_unmet(self, target_ids: list[str], now: float) -> list[Outgoing]:
        """Hand slots that a report has freed to the holders that wait for them."""
        outgoing = []
        unmet = self.owned.list_unmet(target_ids, self.book, now)
        for holder, wished in unmet.items():
            items = self.owned.allot(holder, wished, self.book, now)
            if holder == self.own_id:
                for item in items:
                    self._apply(item, holder, self.incarnation, now, now)
                continue
            link = self._links.get(holder)
            if link is None:
                continue
            answer = Allowances(
                sender=self.own_id,
                incarnation=self.incarnation,
                answers=link.heard_sequence,
                items=items,
                answers_incarnation=link.incarnation,
            )
            outgoing.append(Outgoing(holder, answer))
        return outgoing

    def _take_reports(self, message: Heartbeat, floor: float, now: float) -> None:
        share = Fraction(1, max(1, message.listed, message.shares))
        for report in message.reports:
            self._take_report(
                message.sender, report, share, message.confirmed, floor, now
            )

    def _take_report(
        self,
        holder: str,
        report: Report,
        share: Fraction,
        confirmed: bool,
        floor: float,
        now: float,
    ) -> None:
        if report.delegated:
            expires = floor + self.timing.lease_seconds
            self.owned.delegate(
                report.target_id, holder, share, expires, confirmed, now
            )
        usage = HolderReport(
            in_flight=max(0, report.in_flight),
            wanted=max(0, report.wanted),
            unit=report.unit,
            acked=report.acked,
            sent_floor=floor,
            requests=max(0, report.requests),
            kept=max(0, report.kept),
        )
        self.owned.report(report.target_id, holder, usage, now)
        self.owned.note_evidence(report, holder)

    def _serve_itself(self, now: float) -> None:
        """Act as holder and owner for the targets that this instance owns."""
        delegating = self.view.may_delegate(now)
        share = Fraction(1, self.view.count_shares(now))
        confirmed = self.view.is_confirmed(now)
        known = self._list_targets_of(self.own_id)
        for target_id in known:
            report = self._report(target_id, self.own_id, delegating, now)
            self._take_report(self.own_id, report, share, confirmed, now, now)
        items = self.owned.allot(self.own_id, known, self.book, now)
        for item in items:
            self._apply(item, self.own_id, self.incarnation, now, now)

    def _receive_allowances(self, message: Allowances, now: float) -> None:
        link = self._links.get(message.sender)
        if link is None or message.answers_incarnation != self.incarnation:
            return
        if message.incarnation < link.incarnation:
            return
        sent = link.find_sent(message.answers)
        if sent is None:
            return
        for item in message.items:
            if self._owners.find(item.target_id) == message.sender:
                self._apply(item, message.sender, message.incarnation, sent, now)

    def _apply(
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
        # The owner counts the larger allowance until this one is acknowledged.
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
