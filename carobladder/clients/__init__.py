"""Clients of the systems outside the router: engines, platform and log."""
