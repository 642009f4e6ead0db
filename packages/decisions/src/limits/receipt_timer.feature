Feature: A message is overdue only for time in which this process read

  # Guards against a 408 for a proper request whose bytes waited while the process
  # or its host stood still.
  Scenario Outline: A message that is incomplete for 3000 ms, <case>
    Given a receipt timer that is asked every 250 ms with a limit of 3000 ms
    When a message is incomplete for <before> ms
    And the process <pause> for 20000 ms
    And the message is incomplete for <after> ms
    Then the message is <verdict>

    Examples:
      | case                        | before | pause             | after | verdict     |
      | with a pause before its end | 2750   | stands still      | 0     | not overdue |
      | with a pause in the middle  | 1500   | stands still      | 1250  | not overdue |
      | and the pause not counted   | 1500   | stands still      | 1500  | overdue     |
      | while it is not read        | 2750   | reads nothing     | 0     | not overdue |
      | beside other messages       | 1500   | completes another | 2750  | not overdue |
      | while it is read            | 1500   | reads             | 0     | overdue     |
