Feature: Requests are placed in proportion to the capacity of each target
  Guards against overloaded targets beside idle ones; targets and time are simulated.

  Scenario Outline: Imbalance stays low and below the baselines in "<scenario>"
    When the bench runs "<scenario>" with seed <seed>
    Then the imbalance of liftmount is at most <most>
    And it is below that of each baseline
    And at least <goodput> of the possible work was done in time

    Examples:
      | scenario           | seed | most | goodput |
      | montevideo 80 %    | 3    | 1.10 | 0.99    |
      | kathmandu 80 %     | 3    | 1.10 | 0.99    |
      | kathmandu 120 %    | 3    | 1.10 | 0.95    |
      | one slows 10 times | 3    | 1.10 | 0.99    |
      | half start cold    | 3    | 1.10 | 0.99    |
      | slots of 1 to 5    | 3    | 1.10 | 0.95    |
      | a domain is lost   | 3    | 1.10 | 0.95    |

  Scenario: Urgent requests stay fast in overload, and may-wait requests get a share
    When the bench runs "montevideo 70 %" with seed 4
    And the bench runs "montevideo 120 %" with seed 4
    Then the p99 of urgent requests at "montevideo 120 %" is at most twice that at "montevideo 70 %"
    And more than a tenth of the may-wait requests were run at "montevideo 120 %"

  Scenario: A retry storm does not grow
    When the bench runs "retry storm" with seed 2
    Then at most a tenth of the sends were retries

  Scenario Outline: The capacity estimate finds the slots of a target
    Given a target with <slots> slots and a queue of <queue>
    When it is kept full for 400 requests
    Then its limit is <slots>

    Examples:
      | slots | queue |
      | 1     | 0     |
      | 1     | 4     |
      | 2     | 4     |
      | 3     | 0     |
      | 3     | 4     |
      | 5     | 2     |

  Scenario: The limit of a target that only slows down stays bounded
    Given a target that shares one processor among all requests
    When it is kept full for 4000 requests
    Then its limit is at most 8

  Scenario: No target is ejected while most of them fail
    Given a pool of 4 targets
    When 3 targets fail often
    Then all 4 targets may be used
    When 1 target fails often in a new pool of 4
    Then only 3 targets may be used

  Scenario: A choice among a thousand targets scores only a sample
    Given a pool of 1000 targets
    Then a choice scores no more than 16 targets

  Scenario Outline: Queued requests start by priority, with a minimum share
    Given a queue with <urgent> urgent, <normal> normal and <wait> may-wait
    When 100 of them start
    Then at least <u> urgent, <n> normal and <w> may-wait have started

    Examples:
      | urgent | normal | wait | u  | n  | w  |
      | 200    | 0      | 200  | 88 | 0  | 9  |
      | 200    | 200    | 200  | 65 | 19 | 9  |
      | 10     | 0      | 200  | 10 | 0  | 90 |
