"""Start an instance with the settings file that the environment names."""

import os

from carobladder.entry.listening import open_early_listener

if __name__ == "__main__":
    listener = open_early_listener()
    # Imported late, so that callers can already connect while the program loads.
    from carobladder.entry.program import main

    # Exit without flushing standard output, which would block if its reader has
    # stopped; each line was flushed when it was written.
    os._exit(main(listener))
