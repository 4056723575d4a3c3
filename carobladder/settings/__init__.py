"""Settings of the programs, from flags, environment variables or a file.

Import from the modules, so that each program loads only the libraries it needs.
"""
