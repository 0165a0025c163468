Feature: Decisions of the group of balancers
  Membership, lease, claims, keys, ownership: driven without sockets.

  Scenario Outline: The group notices who is gone
    Given a group of <size> members that know one seed
    When <before> periods pass
    Then all members know each other
    When member 1 goes silent
    And <after> periods pass
    Then all others hold member 1 for dead
    When member 1 speaks again
    And 16 periods pass
    Then all members know each other

    Examples:
      | size | before | after |
      | 2    | 4      | 10    |
      | 8    | 12     | 12    |
      | 24   | 30     | 16    |

  Scenario: Two halves that are cut apart find each other again
    Given a group of 8 members that know one seed
    When 12 periods pass
    And the members are cut into two halves
    And 14 periods pass
    Then each half holds the other for dead
    When the cut is healed
    And 24 periods pass
    Then all members know each other

  Scenario: The sender keeps its byte budget
    Given a group of 24 members that know one seed
    When 60 periods pass
    Then no member sent more than 2000 bytes a second

  Scenario: A restarted member replaces its former self
    Given a group of 8 members that know one seed
    When 12 periods pass
    And member 3 starts anew
    And 16 periods pass
    Then all members know each other

  Scenario Outline: A lease passes on only once it has lapsed
    Given a lease of 4000 ms held by "a"
    When <pause> ms pass without a renewal
    And "b" tries to take it
    Then "b" <result> hold the lease
    And "a" does <former> hold the lease

    Examples:
      | pause | result   | former |
      | 1000  | does not | still  |
      | 4100  | does     | not    |

  Scenario: A holder that was paused loses its write
    Given a lease of 4000 ms held by "a"
    When 5000 ms pass without a renewal
    And "b" tries to take it
    And "a" renews with what it knew
    Then the store holds the lease of "b" with epoch 2
    And "a" does not hold the lease

  Scenario: Only one of many takes a free lease
    Then whatever the order of reads and writes, one holds the lease

  Scenario Outline: An address changes hands through a gap
    Given address "10.1.0.1:443" is <claim>
    And it is asked for by "<wanted>"
    And the release is in force in domains "<released>" of "a,b"
    Then the decision is "<decision>"

    Examples:
      | claim                | wanted        | released | decision         |
      | free                 | firm-b        |          | held firm-b 1    |
      | held by firm-a       | firm-a        |          | nothing          |
      | held by firm-a       | firm-b        |          | releasing firm-a 1 |
      | held by firm-a       | firm-a,firm-b |          | conflict         |
      | released by firm-a   | firm-b        |          | nothing          |
      | released by firm-a   | firm-b        | a        | nothing          |
      | released by firm-a   | firm-b        | a,b      | held firm-b 2    |
      | released by firm-a   | firm-a        | a,b      | held firm-a 2    |

  Scenario: A key is used only once every balancer has it
    Given no flow keys
    When keys are decided on at 0 ms
    Then key 1 seals and keys "1" open
    When keys are decided on at 2000 ms
    Then key 1 seals and keys "1,2" open
    When keys are decided on at 2100 ms while not in force
    Then key 1 seals and keys "1,2" open
    When keys are decided on at 2200 ms
    Then key 2 seals and keys "1,2" open
    When keys are decided on at 13000 ms
    And keys are decided on at 13001 ms
    Then key 3 seals and keys "2,3" open

  Scenario: The owner of a pool changes only for what the change touches
    Given 40 balancers in domains "a,b" and 300 pools
    When balancer "lm-7" leaves
    Then only pools of "lm-7" change their owner
    When balancer "lm-7" returns
    Then the owners are as before

  Scenario: A configuration never goes back
    Then for any order of arrival every store ends alike and never reverts

  Scenario: A report that comes back from above does not hide the own state
    Given balancer "lm-2" holds digest "new" and is told "lm-1=old,lm-2=old" by child "lm-1"
    Then it reports "lm-1=old,lm-2=new"
    When child "lm-1" leaves it
    Then it reports "lm-2=new"
