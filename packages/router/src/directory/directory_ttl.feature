Feature: How long clients keep a directory answer

  Scenario Outline: Small fleets lose a bad address sooner than large ones
    Given a directory of <daemons> daemons
    Then its answers are kept for <ttl> ms

    Examples:
      | daemons | ttl  |
      | 1       | 1000 |
      | 5       | 1000 |
      | 30      | 2000 |
