Feature: One retry budget for all daemons, with no message per request

  Scenario Outline: Every window of a long failure stays within the bound
    Given a fleet budget of 0.2 of the first tries plus 52 in 10 s
    When <daemons> daemons get <rate> requests a second for 40 s and each fails twice
    Then in every 10 s all daemons together retried at most 0.2 of the requests plus 52

    Examples:
      | daemons | rate |
      | 1       | 50   |
      | 5       | 45   |
      | 5       | 400  |
      | 30      | 200  |

  Scenario: A failing service finds retries at once
    Given a fleet budget of 0.2 of the first tries plus 52 in 10 s
    When 1 of 5 daemons gets 20 failing requests in its first second
    Then the daemon retried at least 8 of them
