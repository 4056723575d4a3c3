"""Start an instance with the settings file that the environment names."""

import os

from carobladder.entry.earlysignals import EarlySignals

if __name__ == "__main__":
    # Set before the listener is open, as callers that have connected would be reset.
    signals = EarlySignals()
    from carobladder.entry.listening import open_early_listener

    listener = open_early_listener()
    # Imported late, so that callers can already connect while the program loads.
    from carobladder.entry.program import main

    # Exit without flushing standard output, which would block if its reader has
    # stopped; each line was flushed when it was written.
    os._exit(main(listener, signals))
