"""Targets of a platform and the choice among them."""

from carobladder.fleet import (
    budgets,
    entries,
    evidence,
    exchanges,
    failures,
    freshness,
    health,
    loads,
    messages,
    patience,
    prompts,
    records,
    selection,
    shares,
    tallies,
    targets,
    versions,
    warmth,
)
from carobladder.fleet.budgets import *  # noqa: F403
from carobladder.fleet.entries import *  # noqa: F403
from carobladder.fleet.evidence import *  # noqa: F403
from carobladder.fleet.exchanges import *  # noqa: F403
from carobladder.fleet.failures import *  # noqa: F403
from carobladder.fleet.freshness import *  # noqa: F403
from carobladder.fleet.health import *  # noqa: F403
from carobladder.fleet.loads import *  # noqa: F403
from carobladder.fleet.messages import *  # noqa: F403
from carobladder.fleet.patience import *  # noqa: F403
from carobladder.fleet.prompts import *  # noqa: F403
from carobladder.fleet.records import *  # noqa: F403
from carobladder.fleet.selection import *  # noqa: F403
from carobladder.fleet.shares import *  # noqa: F403
from carobladder.fleet.tallies import *  # noqa: F403
from carobladder.fleet.targets import *  # noqa: F403
from carobladder.fleet.versions import *  # noqa: F403
from carobladder.fleet.warmth import *  # noqa: F403

__all__ = [
    *budgets.__all__,
    *entries.__all__,
    *evidence.__all__,
    *exchanges.__all__,
    *failures.__all__,
    *freshness.__all__,
    *health.__all__,
    *loads.__all__,
    *messages.__all__,
    *patience.__all__,
    *prompts.__all__,
    *records.__all__,
    *selection.__all__,
    *shares.__all__,
    *tallies.__all__,
    *targets.__all__,
    *versions.__all__,
    *warmth.__all__,
]
