"""Fault matrix: each invariant under each fault at each step."""
