"""Clients of an instance for its targets and for the platform's store."""

from dataclasses import dataclass

from carobladder.clients.http import HttpClient
from carobladder.clock import Clock
from carobladder.memory import MemoryBudget
from carobladder.platform.store import PlatformStore
from carobladder.settings.entry import EntrySettings

__all__ = ["Clients", "build_clients"]

# Parts of the memory for what targets and the store make the process keep: incomplete
# events, bodies that are read whole, and bytes that are not read yet.
_TARGETS_DIVISOR = 8
_STORE_DIVISOR = 8
# The store starts its answer to a read within this time, in addition to the read's
# own wait.
_STORE_ANSWER_SECONDS = 0.8
_CONNECT_SECONDS = 0.4
_STORE_SILENCE_SECONDS = 3.0
# A configuration of a few thousand routes takes a second on the slowest link, longer
# with other traffic.
_STORE_BODY_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class Clients:
    """Clients, and the memory for what targets make the process keep."""

    target_client: HttpClient
    target_memory: MemoryBudget
    store: PlatformStore


def build_clients(settings: EntrySettings, clock: Clock, memory_bytes: int) -> Clients:
    """Build the clients of a process that may use some bytes of memory."""
    target_memory = MemoryBudget(memory_bytes // _TARGETS_DIVISOR)
    target_client = HttpClient(
        clock,
        connect_timeout_seconds=_CONNECT_SECONDS,
        memory=target_memory,
    )
    store_client = HttpClient(
        clock,
        connect_timeout_seconds=_CONNECT_SECONDS,
        tcp_user_timeout_seconds=_STORE_SILENCE_SECONDS,
        body_timeout_seconds=_STORE_BODY_SECONDS,
        memory=MemoryBudget(memory_bytes // _STORE_DIVISOR),
    )
    store = PlatformStore(store_client, settings.store_address, _STORE_ANSWER_SECONDS)
    return Clients(target_client, target_memory, store)
