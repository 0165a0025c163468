Feature: One member of a domain reads the store, and news run down a tree
  Pure decisions; an instance that is cut off from its peers reads itself.

  Scenario Outline: Who reads the store
    Given a member of a domain whose order is <order>
    When <events>
    Then it reads the store: <reads>

    Examples:
      | order   | events                                              | reads |
      | me      | 10000 ms without a beat                                       | yes   |
      | me, b   | 10000 ms without a beat                                       | yes   |
      | b, me   | 500 ms without a beat                                         | no    |
      | b, me   | 2000 ms without a beat                         | yes   |
      | b, me   | 8000 ms with beats of age 100                  | no    |
      | b, me   | 8000 ms with beats of age 6000                 | yes   |
      | b, me   | 8000 ms with beats of age 100, then 2000 ms without | yes |
      | b, me   | 2000 ms without a beat, then 1000 ms with beats of age 100 | no |
      | b, me   | 8000 ms with beats of age 6000, then 1000 ms with beats of age 100 | no |

  Scenario Outline: Who reads the store after a start
    Given a member that has just started and knows <known>
    When <events>
    Then it reads the store: <reads>

    Examples:
      | known   | events                                                     | reads |
      | all     | 3400 ms without a beat                                     | no    |
      | all     | 4000 ms without a beat                                     | yes   |
      | all     | 6000 ms without a beat                                     | yes   |
      | all     | 4000 ms with beats of age 9000                             | no    |
      | all     | 4000 ms with beats of age 100                              | no    |
      | all, proven | 4000 ms without a beat                                 | no    |
      | all, proven | 4000 ms with beats of age 9000                         | no    |
      | all, after a start of 2000 ms | 1400 ms without a beat               | no    |
      | all, after a start of 2000 ms | 2000 ms without a beat               | yes   |
      | all, after a start of 2400 ms | 100 ms without a beat                | no    |
      | all, after a start of 2700 ms | 100 ms without a beat                | yes   |
      | all, after a start of 4000 ms | 100 ms without a beat                | yes   |
      | all     | 6000 ms with beats of age 9000                             | yes   |
      | all     | 4000 ms with beats of age 9000, then 4000 ms with beats of age 100 | no |
      | nothing | 100 ms without a beat                                      | yes   |
      | nothing | 2000 ms without a beat                                     | yes   |
      | nothing | 2000 ms with beats of age 9000                             | no    |
      | nothing | 6000 ms with beats of age 9000                             | yes   |
      | nothing | 2000 ms with beats of age 9000, then 2000 ms without       | yes   |

  Scenario Outline: A newcomer asks others for a beat until what it read is proven
    Given a member that has just started and knows <known>
    When <interval> ms with beats of age <age> go by
    Then it has asked for beats: <asked>

    Examples:
      | known       | interval | age  | asked |
      | all         | 100      | none | yes   |
      | all, proven | 900      | none | no    |
      | all         | 900      | 100  | once  |

  Scenario Outline: Knowledge is never taken for fresher than it is
    Given a member that has just started and knows nothing
    When the store answers for both kinds: <answers>
    Then its knowledge is <age> ms old

    Examples:
      | answers                                        | age     |
      | a list that may lag                            | unknown |
      | an exact list                                  | 0       |
      | an exact list that took 3000 ms                | 3000    |
      | a list that may lag, then a watch              | 0       |
      | a list that may lag, then a watch that took 900 ms | 900 |
      | an exact list, then a list that may lag 500 ms later | 500 |

  Scenario Outline: Members begin to read spread over time
    Given <count> members of a domain that hear no beat any more
    Then they begin to read between <from_ms> and <to_ms> ms later, not all at once

    Examples:
      | count | from_ms | to_ms |
      | 30    | 1300    | 1800  |

  Scenario Outline: When beats are old, those near the root read first
    Given a domain of <count> members whose root hears nothing from the store
    When the store <answers> those who ask, for 8 s
    Then <readers> members have begun to read, the last of them after <most> ms

    Examples:
      | count | answers | readers | most |
      | 9     | answers | 8       | 4750 |
      | 40    | answers | 8       | 4750 |
      | 386   | answers | 8       | 4750 |
      | 9     | ignores | 8       | 4750 |
      | 40    | ignores | 39      | 5350 |
      | 386   | ignores | 385     | 5950 |

  Scenario Outline: Who hears no beat asks peers before it reads the store
    Given a domain of 40 members that all know revision 10
    When beats of parents to every third member are lost for 20 s, and <answers>
    Then <readers> members have begun to read

    Examples:
      | answers                          | readers |
      | those asked answer               | 0       |
      | a fifth of the answers is lost   | 0       |
      | those asked answer nothing       | 13      |

  Scenario Outline: A domain that lost its way to the store asks another one
    Given a domain of 40 members whose root hears nothing from the store
    When a member of another domain knows what the store said <age> ms ago
    Then <readers> members have begun to read

    Examples:
      | age  | readers |
      | 300  | 0       |
      | 3000 | 0       |
      | 9000 | 39      |

  Scenario Outline: News of targets need no further call when nothing is missing
    Given a member that knows targets up to revision <held>
    When a beat brings changes from revision 10 to 12
    Then it takes over <taken> changes and pulls <pulls> times

    Examples:
      | held | taken | pulls |
      | 10   | 1     | 0     |
      | 11   | 1     | 0     |
      | 12   | 0     | 0     |
      | 20   | 0     | 0     |
      | 9    | 0     | 1     |
      | 0    | 0     | 1     |

  Scenario: A newer configuration is pulled, once in a while
    Given a member that knows targets up to revision 10
    When beats of version 9 arrive 5 times within 100 ms
    Then it takes over 0 changes and pulls 1 times
    And what it pulls is routes alone

  Scenario Outline: What takes long to come is not pulled again meanwhile
    Given a member that knows targets up to revision 10
    When beats of version 9 arrive from <senders> for <span> ms, and <pulls_end>
    Then it pulls <times> times

    Examples:
      | senders     | span | pulls_end               | times |
      | b           | 4000 | no pull ends            | 1     |
      | b and c     | 4000 | no pull ends            | 2     |
      | b, c and d  | 4000 | no pull ends            | 2     |
      | b           | 4000 | each pull fails at once | 10    |

  Scenario: Targets are pulled when their changes have a gap
    Given a member that knows targets up to revision 9
    When a beat brings changes from revision 10 to 12
    Then what it pulls is routes and targets

  Scenario Outline: A segment for an unknown target has news fetched at once
    Given a member of a domain whose order is <order>
    When it reads the store: <reads>, and 5 segments wait within 100 ms
    Then it asks <asks>, once

    Examples:
      | order | reads | asks      |
      | b, me | no    | member b  |
      | b, me | yes   | the store |
      | me, b | yes   | the store |

  Scenario: Without any member left in the order it asks the store itself
    Given a member of a domain whose order is b, me
    When its order is empty
    And it reads the store: no, and 5 segments wait within 100 ms
    Then it asks the store, once

  Scenario: Changes reach all 385 members of a domain in three steps
    Given a domain of 385 members that all know revision 10
    When the root reads a change to revision 12
    Then every member holds revision 12 after 3 rounds of beats
    And no member sent more than 8 beats a round
    And no beat was larger than 1200 bytes

  Scenario Outline: An evacuation runs down the tree, and so does its end
    Given a domain of <members> members that all know revision 10
    When the root reads that domain b is evacuated at revision 12
    Then every member holds b for evacuated after <rounds> rounds of beats
    When the root reads that domain b is evacuated no more at revision 13
    Then every member holds nothing for evacuated after <rounds> rounds of beats

    Examples:
      | members | rounds |
      | 9       | 1      |
      | 385     | 3      |

  Scenario: A child hears of an evacuation at once
    Given a domain of 9 members that all know revision 10
    When the root reads that domain b is evacuated at revision 12
    Then its next tick sends beats that tell of b

  Scenario Outline: Whoever has run for longest reads for its domain
    Given members a, b, c and d, which have started in this order
    When members change: <events>
    Then the relay order is <order>

    Examples:
      | events                                          | order      |
      | none                                            | a, b, c, d |
      | a restarts                                      | b, c, d, a |
      | a restarts, b restarts                          | c, d, a, b |
      | a leaves                                        | b, c, d, a |
      | b loses the store                               | a, c, d, b |
      | b loses the store, b finds the store            | a, b, c, d |
      | a loses the store, d leaves                     | b, c, a, d |

  Scenario: A lost beat costs nothing
    Given a domain of 9 members that all know revision 10
    When the root reads a change to revision 12
    And the first round of beats is lost
    Then every member holds revision 12 after 1 rounds of beats
    And nobody pulled

  Scenario: Random losses, deaths and readers never leave a gap
    When 200 random histories of a domain of 12 members are played
    Then every member holds what the store held

  Scenario Outline: What members tell each other survives the wire
    When <count> random <things> are encoded and decoded
    Then they come back as they were

    Examples:
      | count | things    |
      | 50    | beats     |
      | 50    | knowledge |

  Scenario: Whatever a peer sends is read or refused
    When 2000 random messages of peers are read
    Then each was read or refused

  Scenario: A process that restarts with an earlier clock joins again
    Given a member that is known with incarnation 100
    When its process restarts with incarnation 50 and hears of the former one
    Then it takes a higher incarnation than 100

  Scenario: A list of all members is not told on
    Given a member that fetches the records of 90 others
    Then it knows all of them and has none of them to tell
