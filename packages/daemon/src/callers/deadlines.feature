Feature: Deadlines travel with a request to the backend server

  Scenario Outline: Attempts of a lookup whose worker fails
    Given a lookup whose caller waits "<told>" ms of the service's 10000 ms
    And its workers fail with <failure> after <spent> ms each
    When the lookup is dispatched in virtual time
    Then <attempts> attempts were sent, each with less time left than the one before
    And the lookup's caller is told <outcome>

    Examples:
      | told | failure  | spent | attempts | outcome |
      |      | silent   | 100   | 3        | failed  |
      | 3000 | silent   | 2000  | 2        | failed  |
      | 1500 | silent   | 2000  | 1        | failed  |
      | 0    | silent   | 100   | 0        | not-run |
      |      | not-sent | 100   | 3        | not-run |
      | 150  | not-sent | 100   | 2        | not-run |
      |      | refused  | 100   | 3        | not-run |
