Feature: A newcomer learns of the others, however many start at once

  Scenario Outline: All of a fleet start at once
    Given <count> balancers in <domains> domains that know <seeds> seeds
    When all of them start within 300 ms
    Then each knows all members of its own domain
    And each knows at least <far> members of each other domain
    And no balancer told more than <bytes> bytes

    Examples:
      | count | domains | seeds | far | bytes   |
      | 8     | 3       | 3     | 2   | 10000   |
      | 91    | 5       | 3     | 4   | 30000   |
      | 300   | 5       | 3     | 4   | 120000  |
      | 700   | 7       | 3     | 4   | 400000  |

  Scenario: Two of three seeds are down
    Given 30 balancers in 3 domains that know 3 seeds
    And 2 of the seeds are down
    When all of them start within 300 ms
    Then each knows all members of its own domain

  Scenario: A newcomer joins a fleet that has run for long
    Given 91 balancers in 5 domains that know 3 seeds
    When all of them start within 300 ms
    And one more starts 60000 ms later
    Then each knows all members of its own domain within 1 turn of the last one

  Scenario Outline: Whom a newcomer asks
    Given a newcomer that knows the seeds s1 and s2, and <near> near members
    Then in turn <turn> it asks <whom>

    Examples:
      | near | turn | whom             |
      | 0    | 0    | seeds            |
      | 5    | 0    | seeds            |
      | 5    | 1    | the other seed first |
      | 5    | 2    | members, then seeds |
      | 0    | 2    | seeds            |

  Scenario: A newcomer is told of targets when all of them are doubted
    Given a balancer that knows targets up to revision 12 and routes of version 5
    When all its targets vanish from the store
    And a newcomer takes over what it is told
    Then the newcomer knows 2 targets

  Scenario Outline: Whoever is asked the same by many encodes it once
    Given a balancer that knows targets up to revision 12 and routes of version 5
    When 8 peers ask for <asked>, <event> before the last 4
    Then it has made <made> answers, and the last one tells <targets> targets

    Examples:
      | asked     | event                            | made | targets |
      | 0/0       | nothing happens                  | 1    | 2       |
      | 0/0       | 600 ms go by                     | 2    | 2       |
      | 0/0       | a target is written              | 2    | 3       |
      | 0/0       | one asks for 12/0                | 2    | 2       |
      | 12/0      | nothing happens                  | 1    | 0       |

  Scenario: A question that is no good is refused
    Given a balancer that knows targets up to revision 12 and routes of version 5
    When a peer asks for 12, x/3 or nothing
    Then it refuses all of them

  Scenario Outline: A peer tells what somebody does not know yet
    Given a balancer that knows targets up to revision 12 and routes of version 5
    When somebody asks who knows revision <revision> and version <version>
    Then it is told <targets> targets and <routes>

    Examples:
      | revision | version | targets | routes              |
      | 0        | 0       | 2       | the routes          |
      | 11       | 5       | 2       | no routes           |
      | 12       | 4       | 0       | the routes          |
      | 12       | 5       | 0       | no routes           |
      | 13       | 6       | 0       | no routes           |

  Scenario: What arrives before the sockets are bound does no harm
    When a beat and a question arrive while the sockets are bound
    Then 2 datagrams are counted as too early
