"""Entry point of the fault lab: python -m faultlab EXPERIMENT [--help]

The module of each experiment has a function `register(subcommands)`. It adds the experiment's subcommand with
its arguments and sets the default `run`, a function from the parsed arguments to the exit code.
"""

from __future__ import annotations

import argparse
import sys

from faultlab import lookups, membership, transforms
from faultlab.coldstart import command as coldstart
from faultlab.duties import command as duties
from faultlab.recovery import command as recovery
from faultlab.rollout import command as rollout
from faultlab.routes import command as routes
from faultlab.soak import command as soak
from faultlab.storm import command as storm

EXPERIMENTS = (coldstart, duties, lookups, recovery, membership, rollout, soak, storm, transforms, routes)


def main(argv: list[str]) -> int:
    """Parse the command line and run the experiment that it names."""
    parser = argparse.ArgumentParser(prog="python -m faultlab", description="Faults injected into gateways.")
    subcommands = parser.add_subparsers(dest="experiment", required=True)
    for experiment in EXPERIMENTS:
        experiment.register(subcommands)
    arguments = parser.parse_args(argv)
    code: int = arguments.run(arguments)
    return code


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
