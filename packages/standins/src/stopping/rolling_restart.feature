Feature: Planned stops cut no request
  Callers keep their directory answers and their connections, and stream for
  longer than the answers are kept, while every daemon is stopped and replaced.
  There are fewer chats than engines, so that no load bound refuses one.

  Scenario Outline: Every daemon is replaced in turn under load by <path>
    Given a fleet under load whose callers keep answers for 1000 ms and engines take 60 ms a token
    When every daemon is replaced in turn by <path>
    Then no caller of the replaced daemons saw an error or a cut

    Examples:
      | path                              |
      | SIGTERM                           |
      | an operator's drain               |
      | the host list showing it leaving  |

  Scenario: A second SIGTERM ends what is in flight, and says so
    Given a fleet under load whose callers keep answers for 1000 ms and engines take 200 ms a token
    When one daemon gets SIGTERM twice while it streams
    Then that daemon ends with code 0 within 5 s of the second
    And every caller was told how its request ended
