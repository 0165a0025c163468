Feature: Pings overtake packets in the socket of a balancer
  Guards against overloaded balancers that are held for dead since the answers
  of the failure detector wait behind packets.

  # Guards against a ping that is answered after all packets before it.
  Scenario: A ping overtakes the packets that wait
    Given a socket with 3000 packets and then a ping in its buffer
    When the event loop runs until all are handled
    Then the ping is handled before 200 of the packets
    And all packets are handled in their order

  Scenario: A packet that waited too long is dropped and counted
    Given a socket with 500 packets and then a ping in its buffer
    When each packet takes 10 ms
    Then the ping is handled, and the packets that waited for over 1000 ms are counted as dropped

  Scenario: A socket that is closed sends nothing and handles nothing
    Given a socket with 10 packets and then a ping in its buffer
    When the socket is closed before the event loop runs
    Then nothing is handled, and a send does nothing
