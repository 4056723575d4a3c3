"""Start an instance on the settings file that the environment names."""

import os

from carobladder.entry.listening import open_early_listener

if __name__ == "__main__":
    listener = open_early_listener()
    # Loaded only now, while callers can already connect.
    from carobladder.entry.program import main

    # Ends without a flush of standard output, which would wait for a reader that
    # has stopped; each line was flushed when it was written.
    os._exit(main(listener))
