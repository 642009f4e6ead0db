Feature: A reply counts as whole only when it is

  Scenario Outline: How a reply is framed and how its connection ends
    Given a server whose reply is framed by <framing> and ends with <end>
    When the reply is fetched
    Then the fetched reply is <result>

    Examples:
      | framing     | end                  | result |
      | its length  | all bytes            | whole  |
      | its length  | a reset half way     | cut    |
      | its length  | a close half way     | cut    |
      | chunks      | all bytes            | whole  |
      | chunks      | a reset half way     | cut    |
      | chunks      | a close half way     | cut    |
      | its channel | all bytes            | whole  |
      | its channel | a reset half way     | cut    |
      | its channel | a reset in one with its bytes | cut    |
      | chunks      | a reset in one with its bytes | cut    |
