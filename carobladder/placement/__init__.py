"""Choose the target of a request.

Import from the modules, of which each program needs only some.
"""
