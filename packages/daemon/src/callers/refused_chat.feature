Feature: A refused chat is told when room is expected

  Scenario Outline: Every engine is full
    Given engines with an expected wait of <waits> ms, none of which grants a slot
    When a chat is dispatched to them in virtual time
    Then it is told not-run because of overloaded, to try again after <retry> ms

    Examples:
      | waits         | retry |
      | 0, 0          | 1000  |
      | 400, 900      | 1000  |
      | 7000, 3000    | 3000  |
