@processes
Feature: Signals in a forced order
  Processes are stopped at the stages of a start and an end, and get signals
  while they are stopped.

  Background:
    Given a store with 1 targets of guide in domain a
    And configuration version 5 routes 127.0.1.1:8443 to guide

  # Guards against SIGHUP that ends a balancer at a stage of its start.
  Scenario Outline: SIGHUP at a stage of a start does not end a balancer
    Given a <form> balancer that is stopped once <stage>
    When it gets SIGHUP and goes on
    Then it is ready, and its process runs

    Examples:
      | form     | stage                   |
      | source   | SIGHUP is handled       |
      | source   | it reads its settings   |
      | source   | its sockets are bound   |
      | source   | it has asked the store  |
      | source   | its event loop runs     |
      | source   | it has joined the group |
      | module   | SIGHUP is handled       |
      | deployed | SIGHUP is handled       |

  # Guards against signals to stop that end a balancer which starts, where a
  # planned stop is due.
  Scenario Outline: A signal to stop at a stage of a start stops as planned
    Given a <form> balancer that is stopped once <stage>
    When it gets <signals> and goes on
    Then it stops as planned with status 0

    Examples:
      | form     | stage                   | signals                        |
      | source   | SIGHUP is handled       | SIGTERM                        |
      | source   | SIGHUP is handled       | SIGINT                         |
      | source   | it reads its settings   | SIGINT                         |
      | source   | its sockets are bound   | SIGHUP and SIGTERM             |
      | source   | its sockets are bound   | SIGINT                         |
      | source   | it has asked the store  | SIGINT                         |
      | source   | its event loop runs     | SIGHUP and SIGINT and SIGTERM  |
      | source   | it has joined the group | SIGINT                         |
      | module   | SIGHUP is handled       | SIGTERM                        |
      | deployed | SIGHUP is handled       | SIGTERM                        |
      | deployed | it reads its settings   | SIGINT                         |

  # Guards against signals that end a balancer during or after its planned
  # stop, with another status than 0.
  Scenario Outline: Signals in series during a stop leave the status at 0
    Given a <form> balancer with a short grace period that is ready
    When it gets SIGTERM, and from then on <signals> until it is gone
    Then its status is 0

    Examples:
      | form     | signals |
      | source   | SIGHUP  |
      | source   | SIGINT  |
      | source   | SIGTERM |
      | deployed | SIGHUP  |

  # Guards against the same fault in liftmountd.
  Scenario Outline: Signals in series during a stop of liftmountd
    Given a liftmountd that is ready
    When it gets SIGTERM, and from then on <signals> until it is gone
    Then its status is 0

    Examples:
      | signals |
      | SIGHUP  |
      | SIGINT  |
      | SIGTERM |

  # Guards against signals that end a liftmountd which starts.
  Scenario: SIGHUP before liftmountd has read its settings
    Given a liftmountd that is stopped before it reads its settings
    When it gets SIGHUP and reads its settings
    Then it prints its addresses

  # Guards against signals to stop that end a liftmountd which starts, where a
  # planned stop is due.
  Scenario Outline: A signal to stop before liftmountd has read its settings
    Given a liftmountd that is stopped before it reads its settings
    When it gets <signals> and reads its settings
    Then it ends with status 0

    Examples:
      | signals |
      | SIGTERM |
      | SIGINT  |

  # Guards against a moment between two handlers of a start at which SIGHUP has
  # its default action.
  Scenario: SIGHUP at each line of a start does not end a balancer
    When a balancer gets SIGHUP at each line of its start
    Then it is ready, and its process runs

  # Guards against a moment of a start at which a signal to stop ends a
  # balancer, or is lost.
  Scenario Outline: A signal to stop at each line of a start stops as planned
    When a balancer gets <signal> at each line of its start
    Then it stops as planned with status 0

    Examples:
      | signal  |
      | SIGTERM |
      | SIGINT  |

  # Guards against handlers that are taken back before the process is gone: as
  # the event loop closes, and by the interpreter's own end.
  Scenario Outline: Signals at each line of the end leave the status at 0
    When a <program> gets <signal> at each line of its end
    Then its status is 0 after the end of its interpreter

    Examples:
      | program    | signal  |
      | balancer   | SIGHUP  |
      | balancer   | SIGINT  |
      | balancer   | SIGTERM |
      | liftmountd | SIGHUP  |
      | liftmountd | SIGINT  |
      | liftmountd | SIGTERM |

  # Guards against signals that end a process which exits before its event
  # loop has run, so that the status of its error is lost.
  Scenario Outline: Signals in series leave the status of wrong settings at 2
    Given a <form> balancer that reads wrong settings
    When it gets <signals> until it is gone
    Then its status is 2

    Examples:
      | form     | signals |
      | source   | SIGHUP  |
      | source   | SIGINT  |
      | source   | SIGTERM |
      | deployed | SIGTERM |

  # Guards against the same fault in liftmountd.
  Scenario Outline: Signals in series leave the status of a wrong call at 2
    Given a liftmountd that is called without settings
    When it gets <signals> until it is gone
    Then its status is 2

    Examples:
      | signals |
      | SIGHUP  |
      | SIGINT  |
      | SIGTERM |

  # Guards against a stop that fails as there is no list of members yet, in
  # which other members could be told.
  Scenario: A signal to stop before liftmountd has joined its members
    Given a liftmountd whose list of members has not started
    When it gets SIGTERM
    Then it ends with status 0

  # Guards against a stop that is lost as signals come faster than they are
  # handled: what wakes the event loop holds a few hundred signals.
  Scenario: A signal to stop after many others is handled
    When SIGHUP comes 1000 times and then SIGTERM within a turn of the event loop
    Then SIGHUP is handled once and SIGTERM once

  # Guards against a reload that fails and takes a stop with it.
  Scenario: A handler that fails keeps no other signal from its handler
    When SIGHUP and SIGTERM come and the handler of SIGHUP fails
    Then SIGHUP is handled once and SIGTERM once

  # Guards against a reload that is lost as another one is under way.
  Scenario: A signal during its own handler is handled again
    When SIGHUP comes during the handler of SIGHUP
    Then SIGHUP is handled twice

  # Guards against settings that change during a start and are never used.
  Scenario Outline: Settings that change after they were read are reloaded
    Given a <form> balancer that has read settings which then change
    When it gets <signals>
    Then it logs a reload within <limit> ms of its event loop

    Examples:
      | form     | signals                          | limit |
      | source   | SIGHUP before its event loop runs | 1000  |
      | deployed | SIGHUP before its event loop runs | 1000  |
      | source   | no signal                        | 3000  |

  # Guards against settings that are copied with the time of the old ones.
  Scenario: Settings that keep the time of those that were read are reloaded
    Given a source balancer that has read settings which then change
    When they keep their time and it gets SIGHUP before its event loop runs
    Then it logs a reload within 1000 ms of its event loop
