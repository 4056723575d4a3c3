"""Admission control: slot ledgers, allowances, warm-up, fair queue and refusals."""

from carobladder.limits import (
    admission,
    allowances,
    budgets,
    declarations,
    queues,
    refusals,
    warmup,
)
from carobladder.limits.admission import *  # noqa: F403
from carobladder.limits.allowances import *  # noqa: F403
from carobladder.limits.budgets import *  # noqa: F403
from carobladder.limits.declarations import *  # noqa: F403
from carobladder.limits.queues import *  # noqa: F403
from carobladder.limits.refusals import *  # noqa: F403
from carobladder.limits.warmup import *  # noqa: F403

__all__ = [
    *admission.__all__,
    *allowances.__all__,
    *budgets.__all__,
    *declarations.__all__,
    *queues.__all__,
    *refusals.__all__,
    *warmup.__all__,
]
