"""Caller interface: connections, requests, answers and the relay of streams.

Import from the modules, of which each program needs only some.
"""
