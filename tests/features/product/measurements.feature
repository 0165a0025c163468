Feature: Evaluation of measurements

  Scenario: Each measurement can be imported
    Then each measurement that ./dev measure names has a main function

  Scenario: Each mechanism that the ablation disables exists
    Then each mechanism occurs once in its file, and disabling it changes the file

  Scenario Outline: A loss is attributed to the latest event, unplanned ones first
    When a window from 10 s has losses during these events: <events>
    Then its cause is <cause>

    Examples:
      | events                           | cause         |
      | crash 5 to 9                     | crash         |
      | crash 5 to 7                     | nothing known |
      | crash 12 to 15                   | nothing known |
      | crash 11 to 15                   | crash         |
      | crash 5 to 15, cut 9 to 12       | cut           |
      | crash 5 to 15, planned roll 9 to 12 | crash      |
      | planned roll 9 to 12             | roll          |

  Scenario: Calls to the store are counted by reason
    Given these log lines of calls
      | from | at_ms | event   | more                                            |
      | one  | 1000  | start   |                                                 |
      | two  | 1000  | start   |                                                 |
      | one  | 1200  | called  | call=finish outcome=finished                    |
      | two  | 1300  | called  | call=finish outcome=finished                    |
      | one  | 1500  | reading | reason=root                                     |
      | one  | 1600  | called  | call=watch wait_ms=1 outcome=changed            |
      | one  | 5100  | called  | call=watch wait_ms=3500 outcome=changed         |
      | two  | 7000  | reading | reason=old_beats                                |
      | two  | 7100  | called  | call=watch wait_ms=1 outcome=callfailed         |
      | two  | 9000  | start   |                                                 |
      | two  | 9100  | called  | call=list outcome=listed                        |
    Then these calls are counted
      | why            | call        | outcome    | count |
      | from its start | finish      | finished   | 2     |
      | from its start | list        | listed     | 1     |
      | root           | brief watch | changed    | 1     |
      | root           | watch       | changed    | 1     |
      | old_beats      | brief watch | callfailed | 1     |

  Scenario: Unresponsive targets are found in the logs of several balancers
    Given these log lines
      | at_ms | event           | target | more            |
      | 1000  | doubted_by_flow | one    | sign=data       |
      | 1180  | dead            | one    |                 |
      | 1181  | reset           | one    | reason=target_dead |
      | 1400  | dead            | one    |                 |
      | 1500  | doubted_by_flow | two    | sign=opening    |
      | 1505  | ended           | two    | part=probes result=answered |
      | 9000  | doubted_by_flow | one    | sign=data       |
      | 9200  | dead            | one    |                 |
    Then targets are unresponsive until 180 and 400 ms with 1 resets, and until 200 ms with 0 resets
    And 1 suspected stall was cleared
