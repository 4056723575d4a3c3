"""Settings of the programs, from flags, environment variables or a file.

Import from the modules: each program loads only the libraries of its own settings.
"""
