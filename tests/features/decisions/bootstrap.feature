Feature: A joining balancer learns the other members, however many start at once
  Guards against members that stay unknown, large answers at mass starts and
  snapshots that lack targets or are encoded too often.

  Scenario Outline: All balancers of a fleet start at once
    Given <count> balancers in <domains> domains that know <seeds> seeds
    When all of them start within 300 ms
    Then each knows all members of its own domain
    And each knows at least <remote> members of each other domain
    And no balancer sent more than <bytes> bytes

    Examples:
      | count | domains | seeds | remote | bytes  |
      | 8     | 3       | 3     | 2      | 10000  |
      | 91    | 5       | 3     | 4      | 30000  |
      | 300   | 5       | 3     | 4      | 120000 |
      | 700   | 7       | 3     | 4      | 400000 |

  Scenario: Two of three seeds are down
    Given 30 balancers in 3 domains that know 3 seeds
    And 2 of the seeds are down
    When all of them start within 300 ms
    Then each knows all members of its own domain

  Scenario: A balancer joins a long-running fleet
    Given 91 balancers in 5 domains that know 3 seeds
    When all of them start within 300 ms
    And one more starts 60000 ms later
    Then the last one knows all members of its own domain after 1 attempt

  Scenario Outline: Which peers a joining balancer asks
    Given a joining balancer that knows the seeds s1 and s2, and <local> local members
    Then in attempt <attempt> it asks <peers>

    Examples:
      | local | attempt | peers                |
      | 0     | 0       | seeds                |
      | 5     | 0       | seeds                |
      | 5     | 1       | the other seed first |
      | 5     | 2       | members, then seeds  |
      | 0     | 2       | seeds                |

  Scenario: A joining balancer receives targets even if all of them are missing
    Given a balancer that knows targets up to revision 12 and routes of version 5
    When all its targets disappear from the store
    And a joining balancer applies its snapshot
    Then the joining balancer holds 2 targets

  Scenario Outline: A snapshot that many peers request is encoded once
    Given a balancer that knows targets up to revision 12 and routes of version 5
    When 8 peers request <requested>, <event> before the last 4
    Then it has made <made> answers, and the last one holds <targets> targets

    Examples:
      | requested | event                            | made | targets |
      | 0/0       | nothing happens                  | 1    | 2       |
      | 0/0       | 600 ms go by                     | 2    | 2       |
      | 0/0       | a target is written              | 2    | 3       |
      | 0/0       | one requests 12/0                | 2    | 2       |
      | 12/0      | nothing happens                  | 1    | 0       |

  Scenario: A malformed snapshot request is refused
    Given a balancer that knows targets up to revision 12 and routes of version 5
    When a peer requests 12, x/3 or nothing
    Then it refuses all of them

  Scenario Outline: A snapshot holds only what the peer does not hold yet
    Given a balancer that knows targets up to revision 12 and routes of version 5
    When a peer asks that holds revision <revision> and version <version>
    Then it receives <targets> targets and <routes>

    Examples:
      | revision | version | targets | routes              |
      | 0        | 0       | 2       | the routes          |
      | 11       | 5       | 2       | no routes           |
      | 12       | 4       | 0       | the routes          |
      | 12       | 5       | 0       | no routes           |
      | 13       | 6       | 0       | no routes           |

  Scenario: Datagrams that arrive before the sockets are bound are dropped
    When a heartbeat and a heartbeat request arrive while the sockets are bound
    Then 2 datagrams are counted as too early
