"""Tasks of a daemon: each owns its sockets and state, and gets messages.

``entry`` puts together a balancer on the platform (``packets``, ``feeds``,
``group``, ``probes``, ``readiness``, ``metrics_page``); ``cli/daemon.py``
one that speaks the project's own interface (``data``, ``targets``,
``control``, ``platform``, ``peers``, ``configuration``, ``metrics``).
"""
