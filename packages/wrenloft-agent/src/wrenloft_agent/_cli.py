"""The ``wrenloft-agent`` command."""

import sys
from pathlib import Path

import uvloop
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument

from wrenloft_agent._agent import run_agent
from wrenloft_agent._settings import AgentSettings
from wrenloft_core import SettingsError, read_settings, set_up_logs

_EXIT_SETTINGS = 2


class _Run(Command):
    name = "run"
    description = "Runs the agent beside this host's runner."
    arguments = [argument("settings", "The settings file, in TOML.")]

    def handle(self) -> int:
        try:
            settings = read_settings(Path(self.argument("settings")), AgentSettings)
        except SettingsError as error:
            self.line_error(str(error))
            return _EXIT_SETTINGS
        set_up_logs(as_json=settings.log_json, level=settings.log_level)
        uvloop.run(run_agent(settings))
        return 0


def main() -> None:
    """Run the command line."""
    application = Application("wrenloft-agent")
    application.add(_Run())
    sys.exit(application.run())
