Feature: One retry budget for all daemons without a message per request

  Scenario Outline: Retries stay within the limits in every window of a long failure
    Given a fleet retry budget of 0.2 per first attempt plus 52 in 10 s
    When <daemons> daemons get <rate> requests a second for 40 s and each asks for two retries
    Then in every window of 10 s all daemons together made at most 0.2 retries per request plus 52

    Examples:
      | daemons | rate |
      | 1       | 50   |
      | 5       | 45   |
      | 5       | 400  |
      | 30      | 200  |

  Scenario: Retries are available in the first second of a failure
    Given a fleet retry budget of 0.2 per first attempt plus 52 in 10 s
    When 1 of 5 daemons gets 20 failing requests in its first second
    Then the daemon retried at least 8 of these requests
