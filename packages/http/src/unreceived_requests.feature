Feature: A client is told 400, 408, 413 or 431 only for what they mean

  Background:
    Given a listener that reads bodies of up to 1000 bytes

  # Guards against a 4xx for a proper request whose connection broke, and against
  # an outcome that says something else than what happened.
  Scenario Outline: A client that sends <input>
    When a client sends <input> to the listener
    Then the client receives <reply>
    And the listener's handler sees <result>
    And the listener counted <code>

    Examples:
      | input                                     | reply      | result            | code                          |
      | a part of the headers, and closes         | no reply   | nothing           | HPE_INVALID_EOF_STATE         |
      | a part of the headers, and resets         | no reply   | nothing           | ECONNRESET                    |
      | a part of the body, and closes            | no reply   | closed            | HPE_INVALID_EOF_STATE         |
      | a part of the body, and resets            | no reply   | closed            | ECONNRESET                    |
      | a part of a chunked body, and closes      | no reply   | closed            | HPE_INVALID_EOF_STATE         |
      | a part of a chunked body, and resets      | no reply   | closed            | ECONNRESET                    |
      | nothing, and closes                       | no reply   | nothing           | no error                      |
      | a line that is no request                 | a 400      | nothing           | HPE_INVALID_METHOD            |
      | a chunk that is malformed                 | a 400      | malformed-request | HPE_INVALID_CHUNK_SIZE        |
      | headers of 20 KB                          | a 431      | nothing           | HPE_HEADER_OVERFLOW           |
      | a part of the headers, and waits          | a late 408 | nothing           | ERR_HTTP_REQUEST_TIMEOUT      |
      | a part of the body, and waits             | a late 408 | timed-out         | ERR_HTTP_REQUEST_TIMEOUT      |
      | a part of a chunked body, and waits       | a late 408 | timed-out         | ERR_HTTP_REQUEST_TIMEOUT      |
      | the length of a body of 2000 bytes        | a 413      | too-large         | no error                      |
      | a chunked body of 2000 bytes              | a 413      | too-large         | no error                      |
      | a body of 1000 bytes                      | a 200      | a body            | no error                      |
      | a body of 1000 bytes, and resets          | a 200      | a body            | no error                      |
      | a request that closes, and a request      | a 200      | a body            | no error                      |
      | a request that closes, and an empty line  | a 200      | a body            | no error                      |

  # Guards against log lines that clients can cause without end.
  Scenario: Of many connections that fail in the same way, one line a second is written
    Given a count of requests that cannot be received
    When 300 of them fail with "ECONNRESET" and 2 with "HPE_INVALID_METHOD" within 900 ms
    Then 1 line names "ECONNRESET" and 1 line names "HPE_INVALID_METHOD"
    And 300 of them were counted for "ECONNRESET"
    When 10 of them fail with "ECONNRESET" and 0 with "HPE_INVALID_METHOD" a second later
    Then 2 lines name "ECONNRESET" and 1 line names "HPE_INVALID_METHOD"
