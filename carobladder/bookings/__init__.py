"""Idempotency keys and claims of calls that must not repeat."""
