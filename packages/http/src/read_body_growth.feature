Feature: A body without an end takes no more time and memory than its bytes need

  # A faulty worker may send a body without an end in chunks of one byte. Once,
  # each chunk was kept as an object of its own, and with it the whole buffer that
  # it was received in: a limit of 8 MiB let a daemon grow by hundreds of MiB.
  Scenario: A body of one-byte chunks holds little more memory than its bytes
    When 400000 bytes of a body arrive in chunks of one byte, 100 from each received buffer of 16 KiB
    Then the body that is read so far holds less than 4000000 bytes

  Scenario: A body in chunks of one byte takes time in proportion to its size
    Given the work of reading a body in chunks of one byte
    When its processor time is measured for 16000 and for 64000 repetitions
    Then four times the input takes less than 8 times the processor time

  Scenario Outline: A body in chunks of <size> bytes is read whole
    When a body of 100000 bytes arrives in chunks of <size> bytes
    Then the body is read unchanged

    Examples:
      | size   |
      | 1      |
      | 999    |
      | 65536  |
      | 100000 |

  Scenario: A body beyond its limit is given up as too large
    When more than the limit of a body arrives in chunks of one byte
    Then reading it fails as "too-large"
