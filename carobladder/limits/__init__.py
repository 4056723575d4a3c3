"""Budgets, allowances, warm-up and queues."""
