"""Seeds that failed before, each with the cause of the failure."""

REGRESSION_SEEDS: dict[int, str] = {
    103: 'the soak took the exit of an old process for that of a new one',
    201: 'a member that applied a snapshot trusted entries that were missing',
    9103: 'a balancer got SIGTERM before it had installed a handler',
    1023: 'the soak wrote an older version of the configuration last',
}
