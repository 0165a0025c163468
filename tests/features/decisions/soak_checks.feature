Feature: Checks of the fault soak
  The soak's checks, transport and fault plans must detect what they claim to.

  Scenario Outline: The witness records each broken promise
    Given a witness with all balancers in touch
    When the witness sees that <event>
    Then the witness records <breach>

    Examples:
      | event                                                      | breach                                     |
      | a request runs                                             | nothing                                    |
      | an attempt runs at two targets                             | "a try runs once"                          |
      | a request that must not be repeated runs in two attempts   | "a request runs at most once"              |
      | a request that may be repeated runs in two attempts        | nothing                                    |
      | an opening reaches a target of its service                 | nothing                                    |
      | an opening reaches a target of another service             | "flows reach their service"                |
      | an opening reaches a target that left 2900 ms ago          | nothing                                    |
      | an opening reaches a target that left 3100 ms ago          | "leaving targets get no new flows"         |
      | an opening reaches a domain that was evacuated 2900 ms ago | nothing                                    |
      | an opening reaches a domain that was evacuated 3100 ms ago | "evacuated domains get no new flows"       |
      | an open flow is reset while its target lives               | "open flows stay while their target lives" |
      | an open flow is reset 4100 ms after its target was cut off | "open flows stay while their target lives" |
      | an open flow is reset 3900 ms after its target was cut off | nothing                                    |
      | an open flow is reset after its target ended               | nothing                                    |
      | a flow that is not open is reset                           | nothing                                    |
      | an answer belongs to another request                       | "answers belong to requests"               |
      | 94 of 100 requests are served after the last fault         | "service returns after the last fault"     |
      | 95 of 100 requests are served after the last fault         | nothing                                    |
      | 5 of 5 requests are served after the last fault            | "service returns after the last fault"     |

  Scenario Outline: A packet that was changed in transit is detected
    Given a packet with data
    When its <part> changes
    Then it counts as changed: <is_changed>

    Examples:
      | part     | is_changed |
      | tag      | no         |
      | data     | yes        |
      | sequence | yes        |
      | source   | yes        |
      | flags    | yes        |

  Scenario Outline: Both ends receive all data despite packet loss
    When <bytes> bytes are sent each way and <loss> of the packets are lost
    Then each end has received what the other one wrote

    Examples:
      | bytes | loss |
      | 10    | 0.0  |
      | 50000 | 0.0  |
      | 50000 | 0.3  |

  Scenario: A seed determines the plan
    When plans are drawn from the seeds 1, 1 and 2
    Then the first two are equal and the third is not
    And 200 seeds draw every kind of fault
