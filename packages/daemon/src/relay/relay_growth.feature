Feature: Relaying a chat's stream takes time in proportion to its bytes

  # An engine may send bytes that are no answer, without end, in any line ends and
  # in chunks of any size. Once, the parser searched the rest of a chunk for the
  # kind of line end that was missing, from each line on.
  Scenario Outline: <bytes> take time in proportion to their number
    Given the work of relaying <bytes>
    When its processor time is measured for 16000 and for 64000 repetitions
    Then four times the input takes less than 8 times the processor time

    Examples:
      | bytes                                  |
      | carriage returns in one chunk          |
      | line feeds after one carriage return   |
      | comments that end in a carriage return |
      | single bytes without a line end        |

  Scenario Outline: A chat's events are relayed with line ends of <ends>
    When a chat's stream of three events comes with line ends of <ends>, split at each byte
    Then the three events are relayed

    Examples:
      | ends |
      | LF   |
      | CR   |
      | CRLF |
