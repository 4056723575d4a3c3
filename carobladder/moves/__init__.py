"""State machines and decisions of version moves and data centre moves.

Import from the submodules; each program needs only some of them.
"""
