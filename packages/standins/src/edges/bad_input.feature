Feature: Bad input gets a clear answer and an outcome

  Scenario Outline: <input> is answered <status>
    Given the edge fleet of one daemon
    When <input> arrives at the edge
    Then the edge answers <status> with outcome <outcome>

    Examples:
      | input                             | status | outcome  |
      | a header of 20 KB                 | 431    | not-run  |
      | a line that is no request         | 400    | not-run  |
      | a header that never ends          | 408    | not-run  |
      | a broken chunk of a body          | 400    | not-run  |
      | a body of 9 MB                    | 413    | not-run  |
      | broken JSON                       | 400    | not-run  |
      | a chat without a model            | 400    | not-run  |
      | an unknown model                  | 404    | not-run  |
      | a plain service named as a model  | 404    | not-run  |
      | an unknown service                | 404    | not-run  |
      | an unknown path                   | 404    | not-run  |
      | a chat with an altered ticket     | 200    | complete |

  Scenario Outline: Random <document> never passes unchecked nor breaks its reader
    Then 500 random values of <document> are read or refused with every problem
    And a right <document> is read, and 500 with one value altered are read or refused at that value

    Examples:
      | document                  |
      | daemon settings           |
      | fleet keys                |
      | a chat request            |
      | a heartbeat               |
      | a slot request            |
      | a slot's release          |
      | slots' renewal            |
      | a probe                   |
      | news of a leaving backend |
      | a request for parts       |
      | parts of a configuration  |
      | a table row               |
      | a host list               |
      | a claim                   |
      | a configuration head      |
      | a lease                   |
      | an engine's load          |
      | an engine's state         |
      | an order                  |
      | the permits to load       |

  Scenario: Random tickets are never taken
    Then 500 random and altered tickets read as no ticket
