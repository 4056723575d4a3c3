"""Task that runs the protocol between instances over the transport."""

import asyncio
from collections.abc import Iterable, Sequence

from carobladder.clock import Clock
from carobladder.limits.declarations import TargetDeclaration, TargetLoadReport
from carobladder.membership.views import ListedInstance
from carobladder.peers.coordination import Coordinator, Outgoing
from carobladder.peers.messages import (
    EvidenceItem,
    Heartbeat,
    PeerMessage,
    SnapshotAnswer,
    SnapshotRequest,
)
from carobladder.peers.transport import PeerTransport
from carobladder.targets import TargetState

__all__ = ["Exchange", "ExchangeCallbacks"]


class ExchangeCallbacks:
    """Base class for handlers of peer messages; override those that are needed."""

    def handle_evidence(self, sender: str, items: Sequence[EvidenceItem]) -> None:
        """Handle evidence from a peer."""

    def handle_config_offset(self, sender: str, offset: int) -> None:
        """Handle the configuration offset that a peer has applied."""

    def handle_snapshot_request(self, message: SnapshotRequest) -> None:
        """Handle a request for the configuration."""

    def handle_snapshot_answer(self, message: SnapshotAnswer) -> None:
        """Handle a part of a peer's configuration."""

    def handle_slots_changed(self) -> None:
        """Handle a possible change of the free slots."""


class Exchange:
    """Passes received messages to a coordinator and sends the messages it returns."""

    def __init__(
        self,
        coordinator: Coordinator,
        transport: PeerTransport,
        clock: Clock,
        callbacks: ExchangeCallbacks,
    ) -> None:
        self._coordinator = coordinator
        self._transport = transport
        self._clock = clock
        self._callbacks = callbacks
        self._wake = asyncio.Event()

    def apply_list(self, instances: Sequence[ListedInstance]) -> None:
        """Apply the instances that the platform lists and connect to them."""
        self._coordinator.apply_list(instances, self._clock.monotonic())
        peers = self._coordinator.view.list_peers()
        self._transport.set_peers(
            {item.instance_id: item.peer_address for item in peers}
        )
        self._wake.set()

    def set_targets(self, declarations: Iterable[TargetDeclaration]) -> None:
        """Replace the declared targets; changes reach holders with the next answers."""
        self._coordinator.set_targets(declarations)
        self._wake.set()

    def note_config(self, offset: int) -> None:
        """Record a successful read of the configuration, also one without changes.

        Heartbeats include the offset. An instance that can neither read the
        configuration nor reach half of the listed instances stops granting slots.
        """
        self._coordinator.note_config(offset, self._clock.monotonic())

    def note_probe(self, target_id: str, probe: TargetLoadReport | None) -> None:
        """Record a load report of an owned target; None means no answer."""
        now = self._clock.monotonic()
        self._coordinator.note_probe(target_id, probe, now)

    def note_boot(self, target_id: str, boot_id: str) -> None:
        """Record the boot id in an answer of a target."""
        self._coordinator.book.note_boot(target_id, boot_id)

    def list_owned(self) -> list[TargetDeclaration]:
        """Return the targets that this instance owns now."""
        return self._coordinator.list_owned(self._clock.monotonic())

    def find_target(self, target_id: str) -> TargetState | None:
        """Return the current state of a target, None if it is not declared."""
        return self._coordinator.find_target(target_id, self._clock.monotonic())

    def ask(self, target_ids: Iterable[str]) -> None:
        """Request slots from the owners of the targets, without waiting for answers."""
        self._coordinator.ask(target_ids, self._clock.monotonic())
        self._wake.set()

    def add_evidence(self, items: Sequence[EvidenceItem]) -> None:
        """Queue evidence for the next heartbeats."""
        self._coordinator.add_evidence(items)

    def set_leaving(self) -> None:
        """Stop owning targets and delegating; the next heartbeats announce it."""
        self._coordinator.view.own_leaving = True

    async def send(self, peer: str, message: PeerMessage) -> None:
        """Send a snapshot message to a peer, or drop it if the queue is full."""
        await self._transport.send(peer, message)

    async def run(self) -> None:
        """Send heartbeats and answer peers until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_sender())
            group.create_task(self._run_receiver())

    async def _run_sender(self) -> None:
        while True:
            await self._send_all(self._coordinator.tick(self._clock.monotonic()))
            self._callbacks.handle_slots_changed()
            now = self._clock.monotonic()
            delay = self._coordinator.next_due(now) - now
            if delay > 0:
                await self._wait(delay)
            else:
                await asyncio.sleep(0)

    async def _wait(self, seconds: float) -> None:
        """Wait until the time has passed or new input arrives."""
        self._wake.clear()
        waits = [
            asyncio.ensure_future(self._clock.sleep(seconds)),
            asyncio.ensure_future(self._wake.wait()),
        ]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()

    async def _run_receiver(self) -> None:
        while True:
            message = await self._transport.receive()
            now = self._clock.monotonic()
            await self._send_all(self._coordinator.receive(message, now))
            self._notify(message)

    def _notify(self, message: PeerMessage) -> None:
        if isinstance(message, Heartbeat):
            if message.evidence:
                self._callbacks.handle_evidence(message.sender, message.evidence)
            self._callbacks.handle_config_offset(message.sender, message.config_offset)
        elif isinstance(message, SnapshotRequest):
            self._callbacks.handle_snapshot_request(message)
        elif isinstance(message, SnapshotAnswer):
            self._callbacks.handle_snapshot_answer(message)
        else:
            self._callbacks.handle_slots_changed()

    async def _send_all(self, outgoing: Iterable[Outgoing]) -> None:
        for item in outgoing:
            await self._transport.send(item.peer, item.message)
