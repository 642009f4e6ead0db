Feature: Time that clients cache a directory answer

  Scenario Outline: A stale address expires sooner with fewer than 12 daemons
    Given a directory of <daemons> daemons
    Then its answers are cached for <ttl> ms

    Examples:
      | daemons | ttl  |
      | 1       | 1000 |
      | 5       | 1000 |
      | 30      | 2000 |
