"""Version moves and data centre moves.

Import from the modules, of which each program needs only some.
"""
