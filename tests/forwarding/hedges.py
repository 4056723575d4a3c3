"""Builders for tests of copies of late requests."""

from carobladder.clock import Clock, VirtualClock
from carobladder.fleet import (
    CallMetadata,
    ServiceBudgets,
    ShareLedger,
    TargetLoad,
    TargetTable,
)
from carobladder.forwarding import ForwardedCall, HedgePolicy
from carobladder.routing import Route, RouteKind, Service
from tests.fleet.builders import build_entry
from tests.forwarding.fixtures import build_route

SAFE = build_route("safe", RouteKind.SAFE, attempts=2)
SERVICE = Service("stock")
USUAL_SECONDS = 0.1


def build_call(clock: Clock, route: Route = SAFE, seconds: float = 2.0):
    """Return a call that must be answered within some seconds."""
    return ForwardedCall(
        route=route,
        service=SERVICE,
        facts=CallMetadata("ab12", route.host, None, None),
        team="team-1",
        priority=0,
        method="GET",
        request_target="/safe/x",
        headers=(),
        body=b"",
        prefix_keys=(),
        last_part_tokens=(),
        deadline=clock.monotonic() + seconds,
        configuration_version=1,
        configuration_age_seconds=0.0,
    )


class PolicyCase:
    """Policy of one instance before idle targets, and what the tests change of it."""

    def __init__(self, targets: int = 3, share: float = 0.05) -> None:
        self.clock = VirtualClock()
        self.clock.advance(100.0)
        self.table = TargetTable()
        now = self.clock.monotonic()
        self.targets = [
            self.table.apply(build_entry(f"i-{i}", service="stock", slots=6), now)
            for i in range(targets)
        ]
        ledger = ShareLedger(96)
        ledger.assign(frozenset(range(96)))
        self.budgets = ServiceBudgets(0.2, 10.0, ledger, self.clock, share)
        self.is_current = True
        # Ids of the targets that have a shared prompt, by its key.
        self.prompt_holders: dict[int, set[str]] = {}
        self.policy = HedgePolicy(
            share,
            self.table,
            self.budgets.find,
            lambda call: self.is_current,
            self.clock,
            has_prompt=lambda prefix, target: (
                target.target_id in self.prompt_holders.get(prefix, ())
            ),
        )
        self.call = build_call(self.clock)

    def learn(self, count: int = 100, seconds: float = USUAL_SECONDS) -> None:
        """Record answers that all take about the same time, and earn copies."""
        for number in range(count):
            self.budgets.find("stock").record_request()
            self.policy.note_first_byte(self.call, seconds * (1 + number % 10 / 100))
            self.policy.note_lateness(self.call, is_late=False)

    def state_load(self, index: int, requests: int) -> None:
        """Let a target state a load."""
        now = self.clock.monotonic()
        load = TargetLoad(requests, 0, 6)
        self.targets[index].health.note_load(load, now)
