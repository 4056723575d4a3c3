"""Start an instance with the settings file that the environment names."""

import os

from carobladder.entry.processstart import ProcessStart

if __name__ == "__main__":
    # Created first, as signals would end the process while it loads the program.
    start = ProcessStart()
    start.listen()
    from carobladder.entry.program import main

    # Exit without flushing standard output, which would block if its reader has
    # stopped; each line was flushed when it was written.
    os._exit(main(start))
