"""Check that a call which was accepted earlier would be accepted now."""

from collections.abc import Callable
from dataclasses import dataclass

from carobladder.clock import Clock
from carobladder.fleet import Freshness
from carobladder.forwarding.heads import ConfigurationAgeLimits
from carobladder.forwarding.sends import ForwardedCall
from carobladder.routing import RouteTable

__all__ = ["CallCurrency"]


@dataclass(frozen=True, slots=True)
class CallCurrency:
    """State of the instance that decides whether work may be added for a call."""

    find_table: Callable[[], RouteTable | None]
    freshness: Freshness
    age_limits: ConfigurationAgeLimits
    is_draining: Callable[[], bool]
    clock: Clock

    def is_current(self, call: ForwardedCall) -> bool:
        """Return whether the instance would still accept the call.

        A changed configuration may have revoked its key or changed its route, so the
        call must have been validated against the one in force.
        """
        table = self.find_table()
        if table is None or self.is_draining():
            return False
        if table.configuration.version != call.configuration_version:
            return False
        if call.route.public or not table.needs_keys:
            return True
        return self.freshness.is_within(self.age_limits.keys, self.clock.boottime())
