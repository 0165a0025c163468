@processes
Feature: Startup of a balancer before its event loop runs
  Initial lists are read and packets forwarded without blocking.

  Scenario Outline: The initial lists are read page by page
    Given a store that holds <targets> targets and a configuration
    When a balancer iterates until it has routes and targets
    Then it has <targets> targets, as of the store's revision

    Examples:
      | targets |
      | 1       |
      | 501     |

  Scenario: A packet that arrived before the lists is forwarded after them
    Given a store that holds 1 targets and a configuration
    And an opening is queued in the balancer's socket
    When a balancer iterates until it has routes and targets
    Then the target receives the opening in a later iteration

  Scenario Outline: No list is read and no iteration blocks while the store fails
    Given a store that holds 1 targets and a configuration
    When a balancer iterates for 300 ms while the store <trouble>
    Then it has no lists, no iteration blocked, and it <logged>

    Examples:
      | trouble                | logged             |
      | answers 503            | logs a failed list |
      | resets connections     | logs a failed list |
      | sends broken documents | logs a failed list |
      | says nothing           | logs no failure    |

  Scenario Outline: The socket that the launcher bound is used if its address is right
    Given a store that holds 1 targets and a configuration
    And a socket that the launcher bound to <address>
    When a balancer starts with that socket
    Then it is bound to the address of its settings, <how>

    Examples:
      | address            | how               |
      | its address        | with that socket  |
      | another address    | with a new socket |
      | an invalid address | with a new socket |

  Scenario: A balancer starts although its readiness address is in use
    Given a store that holds 1 targets and a configuration
    When the readiness address is in use
    Then a balancer starts without readiness and logs the cause
