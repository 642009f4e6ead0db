Feature: A limit found from an engine's lagged reports

  Scenario Outline: The adaptive limit settles at what the engine runs at once
    Given an adaptive limit that starts at <start>
    And an engine that runs <capacity> at once and reports with a lag of <lag> ms
    When more work than the engine can run is offered to the limit for 120 s
    Then the adaptive limit ends between <low> and <high>
    And the engine never holds back more than <held> after it has settled

    Examples:
      | start | capacity | lag  | low | high | held |
      | 4     | 16       | 0    | 16  | 18   | 2    |
      | 4     | 16       | 1000 | 16  | 18   | 2    |
      | 64    | 16       | 1000 | 16  | 18   | 2    |
      | 4     | 80       | 2000 | 80  | 85   | 5    |

  Scenario: The adaptive limit follows an engine that slows down
    Given an adaptive limit that starts at 4
    And an engine that runs 24 at once and reports with a lag of 1000 ms
    When more work than the engine can run is offered to the limit for 120 s
    And the engine runs only 8 at once from now on
    And more work than the engine can run is offered to the limit for 60 s
    Then the adaptive limit ends between 8 and 10

  Scenario: The adaptive limit does not rise while it is not reached
    Given an adaptive limit that starts at 10
    And an engine that runs 50 at once and reports with a lag of 1000 ms
    When 3 requests at once are offered to the limit for 120 s
    Then the adaptive limit ends between 10 and 10

  Scenario: The adaptive limit ignores a report from before its last change
    Given an adaptive limit that starts at 10
    When the limit is told of 4 running and 6 held back, observed at 1000 ms
    And the limit is told of 2 running and 1 held back, observed at 900 ms
    Then the adaptive limit ends between 4 and 4
