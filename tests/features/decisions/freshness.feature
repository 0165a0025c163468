Feature: An answer about one kind of objects confirms the others as fresh
  Guards against confirming a kind that has changed; one counter of revisions
  rises with every change of the store, whatever its kind.

  Scenario Outline: A kind is confirmed only when all changes are accounted for
    When the store answers: <answers>
    Then routes are known as of <routes>, and evacuations as of <evacuations>

    Examples:
      | answers                                                           | routes | evacuations |
      | routes 10, evacuations 10, targets 10                             | 10     | 10 |
      | routes 10, evacuations 10, targets 12 by 11 12                    | 12     | 12 |
      | routes 10, evacuations 10, targets 12 by 12                       | 10     | 10 |
      | routes 10, evacuations 10, targets 12                             | 10     | 10 |
      | routes 10, evacuations 10, targets 12 by 12, evacuations 11 by 11 | 11     | 11 |
      | routes 10, evacuations 10, evacuations 11 by 11, targets 12 by 12 | 12     | 12 |
      | routes 10, evacuations 10, routes 12 by 11, targets 12 by 12      | 12     | 12 |
      | routes 10, evacuations 10, targets 12 by 12, routes 12 by 11      | 12     | 12 |
      | routes 10, targets 10                                             | 10     | 0  |
      | lagging routes 10, lagging evacuations 10, targets 10             | 0      | 0  |
      | routes 10, evacuations 10, lagging targets 12                     | 10     | 10 |

  Scenario Outline: A kind that is not confirmed in time is queried
    Given a member that has begun to read
    When the store answers: <answers>
    And 200 ms go by in ticks
    Then the feeds <queried> are queried

    Examples:
      | answers                                                        | queried             |
      | targets 10                                                     | evacuations, routes |
      | targets 10, routes 10, evacuations 10                          | none                |
      | routes 10, evacuations 10, targets 10                          | none                |
      | routes 10, evacuations 10, targets 11                          | evacuations, routes |
      | routes 10, evacuations 10, targets 11, evacuations 11 by 11    | none                |
      | routes 10, evacuations 10, targets 11, routes 11               | evacuations         |
      | routes 10, evacuations 10, routes 12 by 11                     | none                |

  Scenario Outline: A failed call of the primary feed counts for its dependent feeds
    Given a member that has begun to read
    When the store answers: <answers>
    And a call for <feed> fails
    Then that counts as <count> failed calls

    Examples:
      | answers                                                         | feed    | count |
      | routes 10, evacuations 10, targets 10                           | targets | 3     |
      | routes 10, evacuations 10, targets 10                           | routes  | 1     |

  Scenario: A failed call counts once where no feed depends on it
    When the store answers: targets 10
    And a call for targets fails
    Then that counts as 1 failed calls

  Scenario: A feed is queried only once for the same answer
    Given a member that has begun to read
    When the store answers: routes 10, evacuations 10, targets 11
    And 200 ms go by in ticks
    And 200 ms go by in ticks
    Then the feeds evacuations, routes are queried

  Scenario Outline: Random stores are never confirmed wrongly
    When <count> random histories of a store are simulated, where answers <answers>
    Then nothing was confirmed that had changed unseen
    And at least <share> % of the answers about targets confirmed both other kinds

    Examples:
      | count | answers                      | share |
      | 300   | come in order                | 50    |
      | 300   | overtake each other          | 30    |
      | 300   | leave changes out            | 0     |
