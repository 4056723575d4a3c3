"""Reading of the topics in the platform's store."""

from carobladder.topics import (
    backoff,
    builders,
    control_state,
    failures,
    fetching,
    followers,
    hedging,
    histories,
    knownrecords,
    lags,
    outages,
    paces,
    peerupdates,
    readchoices,
    readpauses,
    recentvalues,
    roles,
    runs,
    superseding,
    wakeups,
)
from carobladder.topics.backoff import *  # noqa: F403
from carobladder.topics.builders import *  # noqa: F403
from carobladder.topics.control_state import *  # noqa: F403
from carobladder.topics.failures import *  # noqa: F403
from carobladder.topics.fetching import *  # noqa: F403
from carobladder.topics.followers import *  # noqa: F403
from carobladder.topics.hedging import *  # noqa: F403
from carobladder.topics.histories import *  # noqa: F403
from carobladder.topics.knownrecords import *  # noqa: F403
from carobladder.topics.lags import *  # noqa: F403
from carobladder.topics.outages import *  # noqa: F403
from carobladder.topics.paces import *  # noqa: F403
from carobladder.topics.peerupdates import *  # noqa: F403
from carobladder.topics.readchoices import *  # noqa: F403
from carobladder.topics.readpauses import *  # noqa: F403
from carobladder.topics.recentvalues import *  # noqa: F403
from carobladder.topics.roles import *  # noqa: F403
from carobladder.topics.runs import *  # noqa: F403
from carobladder.topics.superseding import *  # noqa: F403
from carobladder.topics.wakeups import *  # noqa: F403

__all__ = [
    *backoff.__all__,
    *builders.__all__,
    *control_state.__all__,
    *failures.__all__,
    *fetching.__all__,
    *followers.__all__,
    *hedging.__all__,
    *histories.__all__,
    *knownrecords.__all__,
    *lags.__all__,
    *outages.__all__,
    *paces.__all__,
    *peerupdates.__all__,
    *readchoices.__all__,
    *readpauses.__all__,
    *recentvalues.__all__,
    *roles.__all__,
    *runs.__all__,
    *superseding.__all__,
    *wakeups.__all__,
]
