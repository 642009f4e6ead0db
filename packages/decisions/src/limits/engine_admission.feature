Feature: Admission of requests to one engine
  The daemon that owns an engine decides which requests run on it.

  Scenario Outline: Admission keeps the engine's limit whatever arrives
    Given an admission with a limit of <limit>
    When <requests> random requests of <customers> customers come and go with seed <seed>
    Then the admission never runs more than its limit
    And the admission never runs a request twice or loses one that waits

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
    Then the next request that the admission starts is of "quiet"

  Scenario: A customer at its share of an engine is held back while others run
    Given an admission with a limit of 8
    And customer "loud" has 2 requests on the engine and 0 that wait there
    When customer "loud" asks for room with a share of 2
    Then the admission does not run it
    And a request of "quiet" is granted by the admission at once

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

  Scenario: A request that cannot start in time is refused with a time to retry
    Given an admission with a limit of 2
    And the engine ends one request every 400 ms while others wait
    When a request that waits at most 300 ms asks the admission for room
    Then the admission refuses it and names at least 400 ms
