Feature: A busy local link resets no flow of a live target
  Guards against finding targets dead because probes queue behind uploads.

  Scenario Outline: The local link is busy when it is nearly full, and shortly after
    Given a local link of <rate> Mbit/s
    When packets of <size> bytes arrive every <gap> ms for <lasts> ms, and <later> ms pass
    Then the link is <state>

    Examples:
      | rate | size | gap | lasts | later | state |
      | 2    | 1232 | 5   | 1000  | 0     | busy  |
      | 2    | 1232 | 5   | 1000  | 100   | busy  |
      | 2    | 1232 | 5   | 1000  | 300   | free  |
      | 2    | 1232 | 10  | 1000  | 0     | free  |
      | 100  | 1232 | 5   | 1000  | 0     | free  |
      | 0    | 1232 | 1   | 1000  | 0     | free  |
      | 2    | 1232 | 1   | 4     | 0     | busy  |
      | 2    | 200  | 1   | 4     | 0     | free  |

  Scenario: Received and sent packets fill the link independently
    Given a local link of 2 Mbit/s
    When packets of 1232 bytes arrive and leave every 10 ms for 1000 ms
    Then the link is free

  Scenario Outline: Missing answers over a busy link prove nothing
    When evidence on a target comes in this order: <events>
    Then <probes> probes were sent, and the target is <condition>

    Examples:
      | events                                                              | probes | condition |
      | link busy, silent 70                                                | 0 | alive     |
      | link busy, silent 200                                               | 0 | alive     |
      | link busy, silent 300                                               | 1 | alive     |
      | link busy, silent 300, ticks x9                                     | 1 | alive     |
      | link busy, silent 300, probe answered                               | 1 | alive     |
      | link busy, silent 300, probe unproven                               | 1 | suspected |
      | link busy, silent 300, probe unproven, silent 900                   | 1 | suspected |
      | link busy, silent 300, probe unproven, ticks x9                     | 1 | suspected |
      | link busy, silent 300, probe unproven, wait 250, tick               | 2 | suspected |
      | link busy, silent 300, probe unproven, wait 250, tick, probe unproven, wait 250, tick | 2 | suspected |
      | link busy, silent 300, probe unproven, wait 250, tick, probe unproven, wait 500, tick | 3 | suspected |
      | link busy, silent 300, probe unproven, wait 250, tick, probe answered | 2 | alive   |
      | link busy, silent 300, probe unproven, seen                         | 1 | alive     |
      | link busy, silent 300, probe unproven, link free, wait 250, tick, probe silent, ticks, probe silent, ticks, probe silent | 4 | suspected |
      | link busy, silent 300, probe unproven, link free, wait 250, tick, probe silent, ticks, probe silent, ticks, probe silent, ticks, probe silent | 5 | dead |
      | link busy, silent 300, probe replaced                               | 1 | dead      |
      | silent, ticks x3, probe silent x3, link busy, probe unproven        | 4 | suspected |
      | silent, ticks x3, probe silent x4, link busy, wait 800, tick, probe unproven | 5 | dead |

  Scenario: The proof that a target is dead expires while the link is busy
    Given a target that was found dead before the link became busy
    When the target does not answer a probe 800 ms later
    Then there is no proof that it is dead

  Scenario Outline: An upload burst resets no flow of a live target
    Given a balancer on a link of 2 Mbit/s with open flows to two targets
    When uploads fill the link for 1000 ms, data is sent again, and probes are <probes>
    Then <early> flows were reset, and new flows go to <chosen>
    When the link is free and probes are <probes> for 1500 ms
    Then <late> flows were reset, and new flows go to <later>

    Examples:
      | probes   | early | chosen  | late | later   |
      | silent   | 0     | another | 1    | another |
      | answered | 0     | both    | 0    | both    |
