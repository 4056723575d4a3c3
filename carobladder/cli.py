"""Command line."""

import asyncio
import os
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import zmq

from carobladder import __version__
from carobladder.admin.commands import (
    ApplyCommand,
    DeleteCommand,
    DiffCommand,
    GetCommand,
    WatchCommand,
)
from carobladder.admin.move_commands import (
    DrainCommand,
    MoveCommand,
    PlanCommand,
    ReturnCommand,
)
from carobladder.exceptions import SettingsError
from carobladder.explain.command import ExplainCommand
from carobladder.replay.command import ReplayCommand
from carobladder.settings.check import describe_settings, load_settings
from carobladder.settings.command import SettingsArguments, build_settings_arguments
from carobladder.settings.definition import InstanceSettings
from carobladder.settings.entry import describe_entry_settings

__all__ = ["Carobladder", "main"]

USAGE_EXIT_STATUS = 2
_ERROR_FORMAT = "carobladder: {message}; see --help for flags and variables"


@cappa.command(name="serve", help="Run an entry instance.")
class Serve(build_settings_arguments("ServeArguments")):  # type: ignore[misc]
    """Run an entry instance."""

    def __call__(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        from carobladder.instance.runtime import run_instance

        settings = _load_or_exit(self)
        raise cappa.Exit(code=asyncio.run(run_instance(settings)))


@cappa.command(name="check", help="Validate settings and print them, secrets masked.")
class Check(build_settings_arguments("CheckArguments")):  # type: ignore[misc]
    """Validate settings and print them, secrets masked."""

    def __call__(self) -> None:
        """Print the resolved settings."""
        print("\n".join(describe_settings(_load_or_exit(self))))


@cappa.command(
    name="check-entry", help="Validate a settings file of the entry program."
)
@dataclass
class CheckEntry:
    """Validate a settings file of the entry program."""

    file: Annotated[Path, cappa.Arg(help="Settings file in TOML.")]

    def __call__(self) -> None:
        """Print what was read, defaulted and ignored."""
        try:
            print("\n".join(describe_entry_settings(self.file)))
        except SettingsError as error:
            print(f"carobladder: {error}", file=sys.stderr)
            raise cappa.Exit(code=USAGE_EXIT_STATUS) from error


@cappa.command(name="keys", help="Print a new CURVE key pair for the fleet.")
@dataclass
class Keys:
    """Print a new CURVE key pair for the fleet."""

    def __call__(self) -> None:
        """Print the pair as environment variables."""
        public_key, secret_key = zmq.curve_keypair()
        print(f"CAROBLADDER_PEER_PUBLIC_KEY={public_key.decode()}")
        print(f"CAROBLADDER_PEER_SECRET_KEY={secret_key.decode()}")


@cappa.command(
    name="carobladder",
    help="Router fleet between callers and model engines or plain services.",
)
@dataclass
class Carobladder:
    """Router fleet between callers and model engines or plain services."""

    command: cappa.Subcommands[
        Serve
        | Check
        | CheckEntry
        | Keys
        | ApplyCommand
        | GetCommand
        | DeleteCommand
        | DiffCommand
        | WatchCommand
        | MoveCommand
        | DrainCommand
        | ReturnCommand
        | PlanCommand
        | ReplayCommand
        | ExplainCommand
    ]


def main() -> None:
    """Run the command line."""
    output = cappa.Output(error_format=_ERROR_FORMAT)
    version = f"carobladder {__version__}"
    cappa.invoke(Carobladder, version=version, output=output)


def _load_or_exit(arguments: SettingsArguments) -> InstanceSettings:
    try:
        return load_settings(arguments.read_flags(), os.environ)
    except SettingsError as error:
        print(f"carobladder: {error}", file=sys.stderr)
        raise cappa.Exit(code=USAGE_EXIT_STATUS) from error
