"""Selection of targets by the cached prompt of a request.

Import from the modules directly: each program needs only some of them.
"""
