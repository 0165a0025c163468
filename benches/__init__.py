"""Measurements of liftmount; run them by ``./dev measure``."""
