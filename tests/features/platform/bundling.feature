@processes
Feature: Deployed program
  Modules are loaded from one archive, which shortens startup; behaviour must
  equal that of the source.

  Scenario: The archive holds all modules that a balancer imports, without attrs
    Given the deployed program
    When its modules imported before the first packet are listed
    Then all of them that are written in Python come from the archive
    And none of them is attr, attrs, asyncio, inspect, logging or threading
    And the code loaded before the first packet is at most 1000 KB

  Scenario Outline: A balancer starts without a valid archive
    Given the deployed program
    When its archive is <state>
    Then its modules are imported as usual and the cause is printed

    Examples:
      | state                  |
      | missing                |
      | truncated              |
      | made by another Python |

  Scenario: The deployed program decides as the source does
    Given the deployed program
    Then the scenarios of its decisions pass
