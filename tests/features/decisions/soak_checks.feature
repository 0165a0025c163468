Feature: What judges the soak sees what it should
  A check that cannot fail is worth nothing.

  Scenario Outline: Each promise is seen to break
    Given a witness to whom all balancers are in touch
    When it hears that <event>
    Then it notes <breach>

    Examples:
      | event                                                | breach |
      | a request runs                                       | nothing |
      | a try runs at two targets                            | "a try runs once" |
      | a request that must not be repeated runs in two tries | "a request runs at most once" |
      | a request that may be repeated runs in two tries     | nothing |
      | an opening reaches a target of its service           | nothing |
      | an opening reaches a target of another service       | "flows reach their service" |
      | an opening reaches a target that left 2900 ms ago    | nothing |
      | an opening reaches a target that left 3100 ms ago    | "leaving targets get no new flows" |
      | an opening reaches a domain that was evacuated 2900 ms ago | nothing |
      | an opening reaches a domain that was evacuated 3100 ms ago | "evacuated domains get no new flows" |
      | an open flow is reset while its target lives         | "open flows stay while their target lives" |
      | an open flow is reset 4100 ms after its target was cut off | "open flows stay while their target lives" |
      | an open flow is reset 3900 ms after its target was cut off | nothing |
      | an open flow is reset after its target ended         | nothing |
      | a flow that is not open is reset                     | nothing |
      | an answer belongs to another request                 | "answers belong to requests" |
      | 94 of 100 requests are served at the end             | "service returns after the last fault" |
      | 95 of 100 requests are served at the end             | nothing |
      | 5 of 5 requests are served at the end                | "service returns after the last fault" |

  Scenario Outline: A packet that was changed on the way is noticed
    Given a packet with data
    When its <part> changes
    Then it counts as changed: <answer>

    Examples:
      | part         | answer |
      | tag          | no     |
      | data         | yes    |
      | sequence     | yes    |
      | source       | yes    |
      | flags        | yes    |

  Scenario Outline: Both ends get all data, whatever the network loses
    When <bytes> bytes go each way and <loss> of the packets are lost
    Then both ends hold what the other one wrote

    Examples:
      | bytes | loss |
      | 10    | 0.0  |
      | 50000 | 0.0  |
      | 50000 | 0.3  |

  Scenario: A seed is a plan, and another seed another one
    When plans are drawn of the seeds 1, 1 and 2
    Then the first two are alike and the third is not
    And 200 seeds bring about every kind of fault
