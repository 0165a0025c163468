"""Seeds that failed once, each with its cause; all are played again."""

SEEDS: dict[int, str] = {}
