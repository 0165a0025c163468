"""Stand-ins that the scripts of the review share; standard library only."""
