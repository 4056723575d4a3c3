"""Heartbeat task: runs the protocol between instances over the transport."""

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
    """Receive what other subpackages need from peers; override what is used."""

    def take_evidence(self, sender: str, items: Sequence[EvidenceItem]) -> None:
        """Take evidence of a peer."""

    def take_config_offset(self, sender: str, offset: int) -> None:
        """Take the configuration offset that a peer has applied."""

    def take_snapshot_request(self, message: SnapshotRequest) -> None:
        """Take a request for the configuration."""

    def take_snapshot_answer(self, message: SnapshotAnswer) -> None:
        """Take a part of a peer's configuration."""

    def slots_changed(self) -> None:
        """Note that slots may have become free."""


class Exchange:
    """Own membership, delegations, ledgers and the holder's book."""

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
        """Take an answer of the platform's list and connect to its instances."""
        self._coordinator.apply_list(instances, self._clock.monotonic())
        peers = self._coordinator.view.list_peers()
        self._transport.set_peers(
            {item.instance_id: item.peer_address for item in peers}
        )
        self._wake.set()

    def set_targets(self, declarations: Iterable[TargetDeclaration]) -> None:
        """Take the declared targets; changes reach holders with the next answers."""
        self._coordinator.set_targets(declarations)
        self._wake.set()

    def note_config(self, offset: int) -> None:
        """Note each successful read of the configuration, also without changes.

        Heartbeats carry the offset. An instance that neither reads the
        configuration nor hears half of the others stops handing out slots.
        """
        self._coordinator.note_config(offset, self._clock.monotonic())

    def note_probe(self, target_id: str, probe: TargetLoadReport | None) -> None:
        """Take a load report of an owned target; None means no answer."""
        now = self._clock.monotonic()
        self._coordinator.note_probe(target_id, probe, now)

    def note_boot(self, target_id: str, boot_id: str) -> None:
        """Take the boot id of a target's answer."""
        self._coordinator.book.note_boot(target_id, boot_id)

    def list_owned(self) -> list[TargetDeclaration]:
        """Return the targets that this instance owns now."""
        return self._coordinator.list_owned(self._clock.monotonic())

    def find_target(self, target_id: str) -> TargetState | None:
        """Return the present state of a target, or None."""
        return self._coordinator.find_target(target_id, self._clock.monotonic())

    def ask(self, target_ids: Iterable[str]) -> None:
        """Ask the owners of the targets for slots without waiting."""
        self._coordinator.ask(target_ids, self._clock.monotonic())
        self._wake.set()

    def add_evidence(self, items: Sequence[EvidenceItem]) -> None:
        """Send evidence with the next heartbeats."""
        self._coordinator.add_evidence(items)

    def set_leaving(self) -> None:
        """Stop owning targets and delegating; the next heartbeats say so."""
        self._coordinator.view.own_leaving = True

    async def send(self, peer: str, message: PeerMessage) -> None:
        """Send a snapshot message to a peer."""
        await self._transport.send(peer, message)

    async def run(self) -> None:
        """Send heartbeats and answer peers until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_sender())
            group.create_task(self._run_receiver())

    async def _run_sender(self) -> None:
        while True:
            await self._send_all(self._coordinator.tick(self._clock.monotonic()))
            self._callbacks.slots_changed()
            now = self._clock.monotonic()
            pause = self._coordinator.next_due(now) - now
            if pause > 0:
                await self._pause(pause)
            else:
                await asyncio.sleep(0)

    async def _pause(self, seconds: float) -> None:
        """Wait for the time or an ask, whichever is first."""
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
                self._callbacks.take_evidence(message.sender, message.evidence)
            self._callbacks.take_config_offset(message.sender, message.config_offset)
        elif isinstance(message, SnapshotRequest):
            self._callbacks.take_snapshot_request(message)
        elif isinstance(message, SnapshotAnswer):
            self._callbacks.take_snapshot_answer(message)
        else:
            self._callbacks.slots_changed()

    async def _send_all(self, outgoing: Iterable[Outgoing]) -> None:
        for item in outgoing:
            await self._transport.send(item.peer, item.message)
