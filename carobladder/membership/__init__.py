"""Live instances, ownership of targets and delegation of shares to the owners."""

from carobladder.membership import delegations, ownership, views
from carobladder.membership.delegations import *  # noqa: F403
from carobladder.membership.ownership import *  # noqa: F403
from carobladder.membership.views import *  # noqa: F403

__all__ = [*delegations.__all__, *ownership.__all__, *views.__all__]
