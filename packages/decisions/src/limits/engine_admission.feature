Feature: Admission of requests to one engine
  The owner of an engine, the daemon that counts its requests, decides which
  requests run on it.

  Scenario Outline: Admission never exceeds the engine's limit under random load
    Given an engine with a limit of <limit>
    When <requests> random requests of <customers> customers arrive and end with seed <seed>
    Then the engine never ran more requests than its limit
    And every request that kept asking was granted

    Examples:
      | limit | requests | customers | seed |
      | 1     | 500      | 1         | 1    |
      | 8     | 2000     | 3         | 2    |
      | 16    | 4000     | 10        | 3    |

  Scenario: A customer with a surge of requests waits behind other customers
    Given an engine with a limit of 8
    And customer "loud" has 8 requests running and 4 waiting on the engine
    When customer "quiet" asks for a slot on the engine
    And one request of "loud" ends on the engine
    Then the next request granted is of "quiet"

  Scenario Outline: Slots are reserved for more urgent classes
    Given an engine with a limit of 16
    And a recent mean of <mean> interactive requests in flight on the engine
    When background requests fill the engine
    Then at least <free> slots of the engine stay free

    Examples:
      | mean | free |
      | 0    | 0    |
      | 2    | 5    |
      | 4    | 8    |

  Scenario: An interactive request is granted before a consultation that waited longer
    Given an engine with a limit of 1
    And customer "desk" has 1 requests running and 2 waiting on the engine
    When an interactive request of "counter" asks for a slot on the engine
    And one request of "desk" ends on the engine
    Then the next request granted is of "counter"

  Scenario: A request that stops asking loses its place in the waiting list
    Given an engine with a limit of 1
    And customer "gone" has 1 requests running and 1 waiting on the engine
    When one request of "gone" ends on the engine
    And 600 ms pass in which no request asks again
    Then a request of "quiet" is granted at once

  Scenario: A request whose estimated wait is too long is refused at once
    Given an engine with a limit of 2
    And the engine ends one request every 400 ms while others wait
    When a request that waits at most 300 ms asks for a slot on the engine
    Then the request is refused a slot
