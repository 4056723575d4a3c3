"""Tests of the clients of the systems outside the router."""
