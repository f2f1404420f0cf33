"""Play loads through the real relay decisions against engines in virtual time."""

from bench.relay.run import add_arguments, run
from bench.relay.simulation import Load, Outcome, play

__all__ = ["Load", "Outcome", "add_arguments", "play", "run"]
