Feature: Bytes that are no reply are not taken for one

  # Guards against replies that Node's parser passes on, or reads differently in
  # another release. Requests are sent with and without ids, as to the store.
  Scenario Outline: A reply with a malformed <part> fails its request
    When replies with each malformed <part> answer requests, whole and in pieces
    Then each of these requests failed as malformed within 500 ms
    And no request was sent on a connection after malformed bytes

    Examples:
      | part         |
      | status line  |
      | header field |
      | framing      |
      | chunk        |
      | trailer      |

  # Guards against a late copy whose end is found at the wrong byte: what follows
  # is then read as the reply to another request.
  Scenario Outline: A late copy with a malformed <part> fails the request that waits
    When late copies with each malformed <part> come before replies, whole and in pieces
    Then each of these requests failed as malformed within 500 ms
    And no request was sent on a connection after malformed bytes

    Examples:
      | part         |
      | status line  |
      | header field |
      | framing      |
      | chunk        |
      | trailer      |

  Scenario: Each sound reply is read
    When each sound reply answers requests, whole and in pieces
    Then each of these requests got its own reply

  Scenario: Each sound late copy is skipped
    When each sound reply comes late before replies, whole and in pieces
    Then each of these requests got its own reply
    And each of these servers accepted 1 connection

  Scenario: A late copy with one altered byte is never read as the reply
    When 600 late copies with one altered byte come before replies, by seed 49
    Then each of these requests failed or got its own reply, or one without its id

  # Guards against a sound reply that is lost with the bytes after it.
  Scenario: Bytes after a complete reply close its connection only
    When each sound reply answers requests, followed by other bytes
    Then each of these requests got its own reply
    And no request was sent on a connection after malformed bytes
