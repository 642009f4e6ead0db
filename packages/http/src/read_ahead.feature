Feature: A connection is not read while too many of its requests wait

  # Guards against memory that grows with what a client sends ahead.
  Scenario Outline: Of 5000 requests <kind> sent ahead, at most 48 wait
    Given an HTTP server that answers nothing
    When a client sends 5000 requests <kind> on one connection in pieces of 100000 bytes
    Then at least 8 and at most 48 requests were parsed once the server reads no more

    Examples:
      | kind                    |
      | without bodies          |
      | with bodies of 30 bytes |
      | with chunked bodies     |

  # Guards against requests that are lost, repeated or cut where a connection is
  # paused or a read is divided.
  Scenario Outline: <count> requests <kind> in pieces of <piece> bytes are answered in order
    Given an HTTP server that answers each request with its path and body
    When a client sends <count> requests <kind> on one connection in pieces of <piece> bytes
    Then the client gets <count> answers in order, each with its own body

    Examples:
      | count | kind                       | piece  |
      | 2000  | without bodies             | 100000 |
      | 2000  | without bodies             | 1000   |
      | 60    | without bodies             | 1      |
      | 2000  | with bodies of 30 bytes    | 100000 |
      | 300   | with bodies of 3000 bytes  | 100000 |
      | 300   | with bodies of 3000 bytes  | 777    |
      | 20    | with bodies of 90000 bytes | 100000 |
      | 500   | with chunked bodies        | 100000 |
      | 500   | with chunked bodies        | 1023   |

  # Node ends a connection with the response in progress when its client closes
  # its half; what was read before must be answered until then.
  Scenario: A client that closes its half after sending ahead gets no wrong answer
    Given an HTTP server that answers each request with its path and body
    When a client sends 500 requests without bodies on one connection and closes its half
    Then the client gets the first of 500 answers in order, and its connection is closed

  Scenario: Requests before input that cannot be parsed are answered, and nothing after it
    Given an HTTP server that answers each request with its path and body
    When a client sends 100 requests without bodies, a malformed line and 100 requests on one connection
    Then the client gets 100 answers in order, each with its own body
