"""Forwarding of callers' requests to the targets of the configured routes."""

from carobladder.forwarding import (
    admission,
    attempts,
    calls,
    crashwatch,
    currency,
    durations,
    firstbytes,
    handler,
    heads,
    hedging,
    loadmonitor,
    outcomes,
    partguard,
    refusals,
    sends,
)
from carobladder.forwarding.admission import *  # noqa: F403
from carobladder.forwarding.attempts import *  # noqa: F403
from carobladder.forwarding.calls import *  # noqa: F403
from carobladder.forwarding.crashwatch import *  # noqa: F403
from carobladder.forwarding.currency import *  # noqa: F403
from carobladder.forwarding.durations import *  # noqa: F403
from carobladder.forwarding.firstbytes import *  # noqa: F403
from carobladder.forwarding.handler import *  # noqa: F403
from carobladder.forwarding.heads import *  # noqa: F403
from carobladder.forwarding.hedging import *  # noqa: F403
from carobladder.forwarding.loadmonitor import *  # noqa: F403
from carobladder.forwarding.outcomes import *  # noqa: F403
from carobladder.forwarding.partguard import *  # noqa: F403
from carobladder.forwarding.refusals import *  # noqa: F403
from carobladder.forwarding.sends import *  # noqa: F403

__all__ = [
    *admission.__all__,
    *attempts.__all__,
    *calls.__all__,
    *crashwatch.__all__,
    *currency.__all__,
    *durations.__all__,
    *firstbytes.__all__,
    *handler.__all__,
    *heads.__all__,
    *hedging.__all__,
    *loadmonitor.__all__,
    *outcomes.__all__,
    *partguard.__all__,
    *refusals.__all__,
    *sends.__all__,
]
