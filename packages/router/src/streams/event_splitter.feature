Feature: Splitting an event stream takes time in proportion to its bytes

  # A faulty engine may send a body without end in chunks of one byte. Once, each
  # chunk copied and searched the whole incomplete event, so that one stream
  # stopped a daemon for more than 20 s.
  Scenario Outline: <bytes> take time in proportion to their number
    Given the work of splitting <bytes>
    When its processor time is measured for 16000 and for 64000 repetitions
    Then four times the input takes less than 8 times the processor time

    Examples:
      | bytes                                 |
      | single bytes without a line end       |
      | single bytes of one event's lines     |
      | single bytes of short events          |
      | lines of one event in one chunk       |
      | events that the client has            |

  Scenario: An event beyond the limit is rejected
    When more than 1 MiB of one event comes in chunks of 1000 bytes
    Then the stream is rejected as having too large an event
