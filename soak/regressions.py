"""Seeds that failed once, each with its cause; all are played again."""

SEEDS: dict[int, str] = {
    201: 'a member that took over all of a peer believed what it doubted',
}
