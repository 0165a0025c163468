"""Entry points of the programs and the base class of the commands."""
