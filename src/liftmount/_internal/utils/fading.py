"""Exponentially fading means."""

from math import exp


def fade(
    mean: float, value: float, elapsed_ms: float, fade_ms: float
) -> float:
    """Return a mean after ``value`` held for ``elapsed_ms``."""
    kept = exp(-elapsed_ms / fade_ms)
    return mean * kept + value * (1.0 - kept)
