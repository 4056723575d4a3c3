"""Demonstration of both deployments as separate processes."""
