Feature: A backend server that leaves gets no new work
  New work stops within 3 s of the host list, or at once on the server's own
  word. What is in flight there finishes, and no caller notices.

  Scenario Outline: An engine and a worker leave under load by <way>
    Given a loaded fleet from which an engine and a worker will leave
    When they leave by <way>
    Then 3 s later they are given no new work
    And what was in flight on them has finished
    And at most <refusals> requests were refused by the leaving engine
    And no caller of the fleet they left saw an error

    Examples:
      | way                  | refusals |
      | the host list        | 0        |
      | their own word       | 3        |
