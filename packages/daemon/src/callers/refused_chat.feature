Feature: The refusal of a chat reports the shortest expected wait for an engine

  Scenario Outline: The retry delay is the shortest expected wait but at least 1 s
    Given engines with an expected wait of <waits> ms, none of which grants a slot
    When a chat is dispatched to them in virtual time
    Then the chat is refused as not-run with the reason overloaded and a retry delay of <retry> ms

    Examples:
      | waits         | retry |
      | 0, 0          | 1000  |
      | 400, 900      | 1000  |
      | 7000, 3000    | 3000  |
