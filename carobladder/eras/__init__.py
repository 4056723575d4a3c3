"""Eras of the platform's store, and what may be believed after it was restored."""

from carobladder.eras import (
    appliers,
    configurationbackup,
    eramarks,
    monitor,
    ownedrecords,
    proofs,
    settling,
)
from carobladder.eras.appliers import *  # noqa: F403
from carobladder.eras.configurationbackup import *  # noqa: F403
from carobladder.eras.eramarks import *  # noqa: F403
from carobladder.eras.monitor import *  # noqa: F403
from carobladder.eras.ownedrecords import *  # noqa: F403
from carobladder.eras.proofs import *  # noqa: F403
from carobladder.eras.settling import *  # noqa: F403

__all__ = [
    *appliers.__all__,
    *configurationbackup.__all__,
    *eramarks.__all__,
    *monitor.__all__,
    *ownedrecords.__all__,
    *proofs.__all__,
    *settling.__all__,
]
