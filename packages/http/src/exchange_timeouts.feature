Feature: Timeouts of a whole exchange

  The head of the reply may take 400 ms; while the body arrives, 800 ms may pass
  without a byte; the whole exchange may take 2500 ms.

  # Guards against giving up replies that are only large, or come over a slow link.
  Scenario Outline: A server that sends <reply> gives <result> with <bytes> bytes of the body
    Given a server that sends <reply>
    When its reply is fetched with timeouts of the whole exchange
    Then the fetch gives <result> with <bytes> bytes of the body
    And the fetch took at least <at least> ms and ended within 4000 ms

    Examples:
      | reply                              | result    | bytes | at least |
      | 20 parts, one every 50 ms          | a reply   | 20    | 900      |
      | nothing                            | no-reply  | no    | 350      |
      | a head without end                 | no-reply  | no    | 350      |
      | 3 parts, then nothing              | silent    | 3     | 600      |
      | 3 parts, then a close              | closed    | 3     | 0        |
      | parts without end                  | too-slow  | some  | 2400     |

  # Guards against timers that run before the sockets are read.
  Scenario: A reply that arrives while the process is busy is not late
    Given a server in another process that sends its reply after 100 ms
    When its reply is fetched while the process is busy for 700 ms
    Then the fetch gives a reply with 1 bytes of the body
