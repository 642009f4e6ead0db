Feature: Decoding JSON of strangers takes time in proportion to its size

  # A store entry of another writer can be any text; each daemon decodes it each
  # time that it reads it. Once, text that ended within a string was searched to
  # its end from each quote on.
  Scenario Outline: <text> takes time in proportion to its size
    Given the work of decoding <text>
    When its processor time is measured for 8000 and for 128000 repetitions
    Then sixteen times the input takes less than 64 times the processor time

    Examples:
      | text                                   |
      | escaped names in a string without an end |
      | quotes and backslashes without an end |
      | strings of which the last has no end |
      | backslashes without an end             |
      | empty arrays                           |
      | items of a wrong type                  |
      | fields that the schema does not name   |
      | values of a wrong type under long keys |

  Scenario Outline: <text> is <verdict>
    When <text> is decoded
    Then the JSON text is <verdict>

    Examples:
      | text                                        | verdict  |
      | {"names": ["\\"]"]}                         | read     |
      | {"names": ["[[[[{{{{"]}                     | read     |
      | 100 nested arrays                           | read     |
      | 101 nested arrays                           | rejected |
      | 101 nested arrays after an escaped quote    | rejected |
      | 101 nested arrays after a string's false end | rejected |
