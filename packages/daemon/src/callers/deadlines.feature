Feature: All attempts of a request share one deadline

  Scenario Outline: No attempt of a failing call is sent after the call's deadline
    # With an empty deadline, the call has no deadline header. There are four
    # workers, and a call has at most three attempts.
    Given a repeatable call with a caller deadline of "<deadline>" ms and a service deadline of 10000 ms
    And its workers fail with <failure> after <duration> ms each
    When the call is dispatched in virtual time
    Then <attempts> attempts were sent, each with some remaining time but less than the previous one
    And the outcome of the call is <outcome>

    Examples:
      | deadline | failure  | duration | attempts | outcome |
      |          | silent   | 100      | 3        | failed  |
      | 3000     | silent   | 2000     | 2        | failed  |
      | 1500     | silent   | 2000     | 1        | failed  |
      | 0        | silent   | 100      | 0        | not-run |
      |          | not-sent | 100      | 3        | not-run |
      | 150      | not-sent | 100      | 2        | not-run |
      |          | refused  | 100      | 3        | not-run |
