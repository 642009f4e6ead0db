Feature: A reply that a server sends once more is not taken for the reply to another request

  # Guards against a late copy that is read as the reply to the next request, and
  # against a sound request that fails because of it.
  Scenario Outline: A request gets its own reply after a late copy <framing> that arrives <when>
    Given a server that answers on kept connections, with replies <framing>
    When 4 requests are sent in turn, and a copy of each reply arrives <when>
    Then each request got its own reply
    And the server accepted 1 connection

    Examples:
      | framing                              | when                                    |
      | without a body                       | before the next reply                   |
      | of some length                       | before the next reply                   |
      | in chunks with trailers              | before the next reply                   |
      | of status 204                        | before the next reply                   |
      | without a body                       | before the next reply, byte by byte     |
      | of some length                       | before the next reply, byte by byte     |
      | in chunks with trailers              | before the next reply, byte by byte     |
      | after an informational head          | before the next reply                   |
      | after an informational head          | before the next reply, byte by byte     |
      | with its names in upper case         | before the next reply                   |
      | of some length                       | three times before the next reply       |
      | without a body                       | while the connection is idle            |
      | in chunks with trailers              | while the connection is idle            |

  # Guards against a copy that cannot be told from the reply to a later send.
  Scenario: A request with an id that a connection has carried goes out on another connection
    Given a server that answers on kept connections, with replies of some length
    When 4 requests with the same id are sent in turn, and a copy of each reply arrives before the next reply
    Then each request got the reply that was made for its send
    And the server accepted 4 connections

  # Guards against a part of a copy that is joined to the reply after it, so that
  # a refusal is read with the id of a request that the server runs.
  Scenario Outline: A request gets its own reply, on another connection, after a late copy that is cut short <where> while idle
    Given a server that answers on kept connections, with replies <framing>
    When 4 requests are sent in turn, and a copy of each reply arrives cut short <where> while idle
    Then each request got its own reply
    And the server accepted 4 connections

    Examples:
      | framing                | where            |
      | of some length         | before its id    |
      | of some length         | after its id     |
      | of some length         | in its body      |
      | in chunks with trailers | in its body      |
      | without a body         | in its first line |

  Scenario Outline: A late copy that is cut short <where> before the next reply is not joined to it
    Given a server that answers on kept connections, with replies of some length
    When 2 requests are sent in turn, and a copy of each reply arrives cut short <where> before the next reply
    Then the second request failed within 500 ms

    Examples:
      | where             |
      | in its first line |
      | before its id     |
      | after its id      |
      | in its body       |

  # Guards against a copy that cannot be skipped and is read as another reply, or
  # that takes the bytes of the next reply.
  Scenario Outline: A late copy <framing> is neither read as the next reply nor waited for
    Given a server that answers on kept connections, with replies <framing>
    When 2 requests are sent in turn, and a copy of each reply arrives before the next reply
    Then the second request failed or got a reply with another name within 500 ms

    Examples:
      | framing                         |
      | with a length that is no number |
      | with chunks that are malformed  |

  # Guards against sound requests that are cut off since much was discarded.
  Scenario: Long late copies cost no request
    Given a server that answers on kept connections, with replies of 20 kB
    When 20 requests are sent in turn, and a copy of each reply arrives before the next reply
    Then each request got its own reply

  # Guards against bytes without an end that are discarded for ever.
  Scenario: A connection that sends more late bytes than 64 KiB is closed
    Given a server that answers on kept connections, with replies of some length
    When a request is sent, and copies of its reply arrive without end
    Then within 2000 ms the server has no open connection

  # Guards against ids that are kept without a limit.
  Scenario: A connection carries 1000 requests with an id at most
    Given a server that answers on kept connections, with replies without a body
    When 1001 requests are sent in turn, and a copy of each reply arrives never
    Then each request got its own reply
    And the server accepted 2 connections
