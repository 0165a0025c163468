Feature: Packets whose home is gone
  Only what still waits for an answer gets one.

  Scenario Outline: What is done with a <packet> whose home is gone
    Given a balancer that knows no home "lm-9"
    When a <packet> with a token of "lm-9" arrives
    Then the decision is to <decision>

    Examples:
      | packet    | decision          |
      | request   | refuse and answer |
      | close     | refuse silently   |
      | cancel    | refuse silently   |
      | keepalive | adopt             |
