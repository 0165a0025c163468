"""Measurements of liftmount, run by ``./dev measure``."""
