"""Retry decisions, retry budgets and stream resumption."""

from carobladder.retries import budgets, decisions, streams
from carobladder.retries.budgets import *  # noqa: F403
from carobladder.retries.decisions import *  # noqa: F403
from carobladder.retries.streams import *  # noqa: F403

__all__ = [*budgets.__all__, *decisions.__all__, *streams.__all__]
