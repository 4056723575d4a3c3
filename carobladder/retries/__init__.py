"""Retry decisions, retry budgets and stream resumption."""
