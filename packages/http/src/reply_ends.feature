Feature: The client does not report a truncated reply as complete

  Scenario Outline: A reply is complete only if all its bytes arrived
    Given a server whose reply is framed by <framing> and ends with <end>
    When the reply is fetched
    Then the fetched reply is <result>

    Examples:
      | framing          | end                               | result    |
      | content-length   | all bytes                         | complete  |
      | content-length   | a reset after the first half      | truncated |
      | content-length   | a close after the first half      | truncated |
      | chunks           | all bytes                         | complete  |
      | chunks           | a reset after the first half      | truncated |
      | chunks           | a close after the first half      | truncated |
      | connection close | all bytes                         | complete  |
      | connection close | a reset after the first half      | truncated |
      | connection close | a reset along with the first half | truncated |
      | chunks           | a reset along with the first half | truncated |
