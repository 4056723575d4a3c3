"""Admission control: slot ledgers, allowances, warm-up, queues, shedding and refusals.

Import from the modules directly: each program needs only some of them.
"""
