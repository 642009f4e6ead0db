Feature: Heartbeats of all daemons to all, in fleets of every size

  Scenario Outline: What a daemon takes is bounded, and a dead one is noticed in time
    Given a fleet of <daemons> daemons
    Then a daemon takes at most <most> heartbeats a second
    And loads told by others are at most <load> ms old
    And a daemon that died is no longer named to clients after <named> ms
    And two heartbeats in a row must be lost before a live one is left out

    Examples:
      | daemons | most | load | named |
      | 1       | 1    | 200  | 900   |
      | 5       | 20   | 200  | 900   |
      | 30      | 34   | 900  | 2250  |
      | 100     | 34   | 3000 | 7500  |
