Feature: Heartbeats from every daemon to every other, by fleet size

  Scenario Outline: With <daemons> daemons heartbeats are bounded and a dead daemon is detected in time
    Given a fleet of <daemons> daemons
    Then a daemon receives at most <most> heartbeats a second
    And loads received from other daemons are at most <load> ms old
    And a dead daemon is left out of the directory after <omitted> ms
    And a live daemon is left out only after two lost heartbeats in a row, and counts as running for one more

    Examples:
      | daemons | most | load | omitted |
      | 1       | 1    | 200  | 900     |
      | 5       | 20   | 200  | 900     |
      | 30      | 34   | 900  | 2250    |
      | 100     | 34   | 3000 | 7500    |
