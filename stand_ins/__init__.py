"""Simulated store, fabric, targets and callers for tests and the demo."""
