Feature: Packets whose home is gone
  Only requests are answered with a refusal;
  a keepalive makes the balancer adopt its flow.

  Scenario Outline: Handling of a <packet> whose home is gone
    Given a balancer without a peer "lm-9"
    When a <packet> with a token of "lm-9" arrives
    Then the decision is to <decision>

    Examples:
      | packet    | decision          |
      | request   | refuse and answer |
      | close     | refuse silently   |
      | cancel    | refuse silently   |
      | keepalive | adopt             |
