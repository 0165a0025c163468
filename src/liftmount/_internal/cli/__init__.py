"""Entries of the programs, and what all commands share."""
