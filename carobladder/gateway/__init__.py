"""HTTP interface for callers: connections, requests, responses and stream relay.

Import from the submodules directly, because each program needs only some of them.
"""
