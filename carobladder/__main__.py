"""Run the command line with ``python -m carobladder``."""

from carobladder.cli import main

if __name__ == "__main__":
    main()
