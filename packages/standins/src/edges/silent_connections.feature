Feature: Connections that go silent are found and replaced
  A connection stays open and says nothing more, while new ones work.

  Scenario Outline: A silent connection to <other end> is found within its limit
    Given 4 idle connections to <other end> with a silence limit of 400 ms
    When all of them go silent and one call is made
    Then the call fails as <failure> between 300 and 4000 ms later
    And the next call is answered over a new connection

    Examples:
      | other end        | failure   |
      | an engine        | silent    |
      | a worker         | silent    |
      | the platform     | uncertain |
      | another daemon   | uncertain |

  Scenario: A reader that pauses does not make the other end look silent
    Given a server that sends 8 MB to a client with a silence limit of 200 ms
    When the client's reader pauses for 1000 ms in the middle
    Then the client receives the 8 MB whole

  Scenario: A server that falls silent in the middle of a reply is found
    Given a server that stops after 1 MB to a client with a silence limit of 200 ms
    When the client's reader takes all that comes
    Then the client's reply is cut between 150 and 4000 ms after the last byte

  Scenario: A caller that stops reading is closed and its answer held back
    Given a listener with a stall limit of 400 ms that answers without end
    When a caller connects and never reads
    Then the listener ends the exchange and never held more than 4 MB for it

  Scenario: A caller that reads slowly keeps its answer
    Given a listener with a stall limit of 400 ms that answers with 8 MB
    When a caller reads 1 MB every 250 ms
    Then the slow caller receives the 8 MB whole

  Scenario: A caller that leaves ends the work for it
    Given a listener with a stall limit of 400 ms that answers without end
    When a caller connects and leaves
    Then the listener interrupts the work of that exchange
