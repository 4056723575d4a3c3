"""Target registry, health tracking, target selection and messages between instances."""

from carobladder.fleet import (
    affinity,
    budgets,
    comparison,
    completion,
    completionchoice,
    deltas,
    entries,
    exchanges,
    failures,
    freshness,
    health,
    inflight,
    loadbounds,
    loads,
    locations,
    messages,
    pacing,
    peers,
    prompts,
    ratereports,
    records,
    selection,
    shares,
    slowness,
    tallies,
    targets,
    timeouts,
    versions,
)
from carobladder.fleet.affinity import *  # noqa: F403
from carobladder.fleet.budgets import *  # noqa: F403
from carobladder.fleet.comparison import *  # noqa: F403
from carobladder.fleet.completion import *  # noqa: F403
from carobladder.fleet.completionchoice import *  # noqa: F403
from carobladder.fleet.deltas import *  # noqa: F403
from carobladder.fleet.entries import *  # noqa: F403
from carobladder.fleet.exchanges import *  # noqa: F403
from carobladder.fleet.failures import *  # noqa: F403
from carobladder.fleet.freshness import *  # noqa: F403
from carobladder.fleet.health import *  # noqa: F403
from carobladder.fleet.inflight import *  # noqa: F403
from carobladder.fleet.loadbounds import *  # noqa: F403
from carobladder.fleet.loads import *  # noqa: F403
from carobladder.fleet.locations import *  # noqa: F403
from carobladder.fleet.messages import *  # noqa: F403
from carobladder.fleet.pacing import *  # noqa: F403
from carobladder.fleet.peers import *  # noqa: F403
from carobladder.fleet.prompts import *  # noqa: F403
from carobladder.fleet.ratereports import *  # noqa: F403
from carobladder.fleet.records import *  # noqa: F403
from carobladder.fleet.selection import *  # noqa: F403
from carobladder.fleet.shares import *  # noqa: F403
from carobladder.fleet.slowness import *  # noqa: F403
from carobladder.fleet.tallies import *  # noqa: F403
from carobladder.fleet.targets import *  # noqa: F403
from carobladder.fleet.timeouts import *  # noqa: F403
from carobladder.fleet.versions import *  # noqa: F403

__all__ = [
    *affinity.__all__,
    *budgets.__all__,
    *entries.__all__,
    *comparison.__all__,
    *completion.__all__,
    *deltas.__all__,
    *completionchoice.__all__,
    *exchanges.__all__,
    *failures.__all__,
    *freshness.__all__,
    *health.__all__,
    *inflight.__all__,
    *loadbounds.__all__,
    *loads.__all__,
    *messages.__all__,
    *pacing.__all__,
    *peers.__all__,
    *timeouts.__all__,
    *prompts.__all__,
    *ratereports.__all__,
    *records.__all__,
    *selection.__all__,
    *shares.__all__,
    *slowness.__all__,
    *tallies.__all__,
    *targets.__all__,
    *versions.__all__,
    *locations.__all__,
]
