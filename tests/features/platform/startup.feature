@processes
Feature: Packets are served before there is an event loop
  Against the stand-in of the store, in turns that never wait.

  Scenario Outline: The first lists are taken over, page by page
    Given a store that holds <targets> targets and a configuration
    When a balancer takes turns until it knows routes and targets
    Then it knows <targets> targets, as of the store's revision

    Examples:
      | targets |
      | 1       |
      | 501     |

  Scenario: What arrived before the lists is served after them
    Given a store that holds 1 targets and a configuration
    And an opening that waits in the balancer's socket
    When a balancer takes turns until it knows routes and targets
    Then the target gets the opening within further turns

  Scenario Outline: A store that fails leaves the lists to the feeds
    Given a store that holds 1 targets and a configuration
    When the store <trouble>, and a balancer takes turns for 300 ms
    Then it knows nothing, no turn took long, and it <said>

    Examples:
      | trouble                | said                   |
      | answers 503            | says that a list failed |
      | resets connections     | says that a list failed |
      | sends broken documents | says that a list failed |
      | says nothing           | says nothing           |

  Scenario Outline: The socket that was bound before all imports is used
    Given a store that holds 1 targets and a configuration
    And a socket that the launcher has bound to <address>
    When a balancer starts with that socket
    Then it listens at the address of its settings, <how>

    Examples:
      | address        | how             |
      | its address    | by that socket  |
      | another one    | by a new socket |
      | no good address | by a new socket |

  Scenario: An address for readiness that is taken does not end a start
    Given a store that holds 1 targets and a configuration
    When the address for readiness is taken
    Then a balancer starts without it and says so
