"""Command line."""

import cappa

from carobladder import __version__


@cappa.command(name="carobladder")
class Carobladder:
    """Router fleet between callers and model engines or plain services."""


def main() -> None:
    """Run the command line."""
    cappa.invoke(Carobladder, version=__version__)
