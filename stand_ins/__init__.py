"""Small stand-ins for what surrounds the balancers, for tests and demo."""
