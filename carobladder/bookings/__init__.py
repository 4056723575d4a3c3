"""Idempotency keys and claims of service calls that must run at most once."""

from carobladder.bookings import claims, keys, ledger, reader, runner, writer
from carobladder.bookings.claims import *  # noqa: F403
from carobladder.bookings.keys import *  # noqa: F403
from carobladder.bookings.ledger import *  # noqa: F403
from carobladder.bookings.reader import *  # noqa: F403
from carobladder.bookings.runner import *  # noqa: F403
from carobladder.bookings.writer import *  # noqa: F403

__all__ = [
    *claims.__all__,
    *keys.__all__,
    *ledger.__all__,
    *reader.__all__,
    *runner.__all__,
    *writer.__all__,
]
