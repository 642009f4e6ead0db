Feature: Adaptive limit from an engine's delayed load reports

  Scenario Outline: The adaptive limit converges to the engine's capacity
    Given an adaptive limit that starts at <start>
    And an engine that runs <capacity> requests at once and reports its load <lag> ms late
    When the engine is kept full up to the limit for 120 s
    Then the adaptive limit ends between <min> and <max>
    And the engine queues at most <queued> requests once the limit has settled

    Examples:
      | start | capacity | lag  | min | max | queued |
      | 4     | 16       | 0    | 16  | 18  | 2      |
      | 4     | 16       | 1000 | 16  | 18  | 2      |
      | 64    | 16       | 1000 | 16  | 18  | 2      |
      | 4     | 80       | 2000 | 80  | 85  | 5      |

  Scenario: The adaptive limit drops when the engine's capacity drops
    Given an adaptive limit that starts at 4
    And an engine that runs 24 requests at once and reports its load 1000 ms late
    When the engine is kept full up to the limit for 120 s
    And the engine's capacity drops to 8 requests
    And the engine is kept full up to the limit for 60 s
    Then the adaptive limit ends between 8 and 10

  Scenario: The adaptive limit does not rise while fewer requests are in flight
    Given an adaptive limit that starts at 10
    And an engine that runs 50 requests at once and reports its load 1000 ms late
    When at most 3 requests are kept in flight for 120 s
    Then the adaptive limit ends between 10 and 10

  Scenario: The adaptive limit ignores a report measured before its last change
    The limit changes when the first report arrives, after both were measured.

    Given an adaptive limit that starts at 10
    When the limit receives a report of 4 running and 6 queued requests, measured at 1000 ms
    And the limit receives a report of 2 running and 1 queued requests, measured at 900 ms
    Then the adaptive limit ends between 4 and 4
