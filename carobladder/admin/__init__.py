"""Operator interface and client."""
