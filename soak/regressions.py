"""Seeds that failed once, each with its cause; all are played again."""

REGRESSION_SEEDS: dict[int, str] = {
    103: 'the soak took the end of a former process for that of a new one',
    201: 'a member that took over all of a peer believed what it doubted',
    9103: 'a balancer got SIGTERM before it began to handle it',
    1023: 'the soak wrote an older version of the configuration last',
}
