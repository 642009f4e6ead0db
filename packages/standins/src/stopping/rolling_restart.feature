Feature: Planned stops of daemons truncate no answer
  Callers cache directory answers and keep connections open, and their streams
  outlast the cached answers, while every daemon is stopped and replaced. There
  are fewer chats than engines, so that no load bound refuses a chat.

  Scenario Outline: Every daemon is replaced in turn under load by <path>
    Given a fleet under load whose callers cache directory answers for 1000 ms and engines take 60 ms a token
    When every daemon is replaced in turn by <path>
    Then no caller of the replaced daemons saw an error or a truncated answer

    Examples:
      | path                              |
      | SIGTERM                           |
      | an operator's drain               |
      | the host list showing it leaving  |

  Scenario: No request in flight is left without an outcome at a second SIGTERM
    Given a fleet under load whose callers cache directory answers for 1000 ms and engines take 200 ms a token
    When one daemon gets SIGTERM twice while it streams
    Then that daemon ends with code 0 within 5 s of the second SIGTERM
    And an outcome was reported to every caller
