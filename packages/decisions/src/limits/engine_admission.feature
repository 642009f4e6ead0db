Feature: Admission of requests to one engine
  The daemon that owns an engine decides which requests run on it.

  Scenario Outline: Admission keeps the engine's limit whatever arrives
    Given an admission with a limit of <limit>
    When <requests> random requests of <customers> customers come and go with seed <seed>
    Then the admission never ran more than its limit
    And the admission ran every request that kept asking

    Examples:
      | limit | requests | customers | seed |
      | 1     | 500      | 1         | 1    |
      | 8     | 2000     | 3         | 2    |
      | 16    | 4000     | 10        | 3    |

  Scenario: A customer that surges waits behind the others on an engine
    Given an admission with a limit of 8
    And customer "loud" has 8 requests on the engine and 4 that wait there
    When customer "quiet" asks the admission for room
    And one request of "loud" ends on the engine
    Then the next request that the admission runs is of "quiet"

  Scenario Outline: Room is kept for classes that are more urgent
    Given an admission with a limit of 16
    And <mean> interactive requests were lately in flight on the engine
    When background requests fill the engine
    Then the admission leaves room for at least <free> more

    Examples:
      | mean | free |
      | 0    | 0    |
      | 2    | 5    |
      | 4    | 8    |

  Scenario: An interactive request goes before a long one that waited longer
    Given an admission with a limit of 1
    And customer "desk" has 1 requests on the engine and 2 that wait there
    When an interactive request of "counter" asks the admission for room
    And one request of "desk" ends on the engine
    Then the next request that the admission runs is of "counter"

  Scenario: A request that stops asking loses its place
    Given an admission with a limit of 1
    And customer "gone" has 1 requests on the engine and 1 that wait there
    When one request of "gone" ends on the engine
    And 600 ms pass for the admission without a question
    Then a request of "quiet" is granted by the admission at once

  Scenario: A request that cannot start in time is refused at once
    Given an admission with a limit of 2
    And the engine ends one request every 400 ms while others wait
    When a request that waits at most 300 ms asks the admission for room
    Then the admission refuses it
