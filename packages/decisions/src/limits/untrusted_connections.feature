Feature: Connections of clients outside of our control share memory and descriptors

  # Guards against closing ordinary clients in place of those that hold most, and
  # against closing anyone while there is room.
  Scenario Outline: With a limit of 1000 bytes, <closed> closed of <held>
    Given connections that hold <held> bytes and have stalled for <stalled> ms
    Then a limit of 1000 bytes closes <closed>

    Examples:
      | held        | stalled        | closed  |
      | 400,300,300 | 9000,9000,9000 | none    |
      | 400,300,301 | 9000,9000,9000 | 1       |
      | 700,300,301 | 0,9000,9000    | 3       |
      | 900,600,400 | 0,0,0          | none    |
      | 900,800,400 | 0,0,0          | 1       |
      | 900,800,400 | 0,9000,0       | 2       |
      | 900,800,900 | 0,9000,0       | 2       |
      | 1200,800,900 | 0,9000,0       | 2,1     |
      | 900,800,700 | 0,9000,9000    | 2,3     |
      | 5000,1,10   | 1900,9000,9000 | 3,2,1   |
      | 5000,0,0    | 1900,9000,9000 | 1       |

  # Guards against a crowd of connections that are each too small to be closed,
  # and together keep the process full, so that every body is refused.
  Scenario: A crowd of small stalled connections is closed down to the limit
    Given 1200 connections that hold 900 bytes and have stalled for 9000 ms
    Then a limit of 1000000 bytes closes 89 of them

  # Guards against a listener that takes every descriptor of the process.
  Scenario: Connections without a request are closed for new ones before idle ones
    Given a listener with 3 connections "a,b,c" at most
    When "a" becomes idle and "b" becomes busy
    And 250 ms pass for the listener
    Then a new connection "d" closes "c"
    When 250 ms pass for the listener
    Then a new connection "e" closes "d"
    When "e" becomes busy
    Then a new connection "f" closes "a"
    When "f" becomes busy
    Then a new connection "g" closes "g"

  # Guards against closing ordinary clients that have just connected, before
  # their requests are read, while others are idle.
  Scenario: An idle connection is closed before one that was accepted just now
    Given a listener with 3 connections "a,b,c" at most
    When "a" becomes idle and "b" becomes busy
    Then a new connection "d" closes "a"
    And a new connection "e" closes "c"
    When 250 ms pass for the listener
    Then a new connection "f" closes "d"

  # Guards against clients that keep every connection with unfinished requests or
  # responses that they do not read, so that no new client gets in.
  Scenario: Unfinished requests and unread responses lose their connections first
    Given a listener with 4 connections "a,b,c,d" at most
    When "a,b,c,d" become busy
    Then a new connection "e" closes "e"
    And the listener is full
    When "a" receives a part of a request
    And the client of "b" stops reading
    Then the listener is not full
    And a new connection "f" closes "b"
    When 1000 ms pass for the listener
    And "f" becomes busy
    And the client of "c" stops reading
    Then a new connection "g" closes "a"
    And a new connection "h" closes "c"

  Scenario: A connection that receives a request is closed later than an idle one
    Given a listener with 2 connections "a,b" at most
    When "a" receives a part of a request
    And "b" becomes idle
    And 999 ms pass for the listener
    Then a new connection "c" closes "b"
    When "c" becomes busy
    Then a new connection "d" closes "a"

  Scenario: A client that reads again, or sends again, keeps its connection
    Given a listener with 3 connections "a,b,c" at most
    When "a,b,c" become busy
    And the client of "a" stops reading
    And the client of "a" reads again
    Then a new connection "d" closes "d"
    When "b" receives a part of a request
    And "c" receives a part of a request
    And 1000 ms pass for the listener
    And "b" receives a part of a request
    Then a new connection "e" closes "c"

  Scenario Outline: A listener with a share of <share> of <descriptors> descriptors has <count> connections at most
    Then a share of <share> of <descriptors> descriptors allows <count> connections

    Examples:
      | descriptors | share | count |
      | 8192        | 0.5   | 3996  |
      | 10762       | 0.5   | 5281  |
      | 8192        | 0.05  | 399   |
      | 100         | 0.5   | 8     |

  # Guards against a crowd that sends requests ahead and takes their responses:
  # it makes progress, and keeps the process full for everyone else.
  Scenario Outline: With a limit of 100000 bytes, <closed> closed of <held> with <ahead> sent ahead
    Given connections that hold <held> bytes, <ahead> of them sent ahead
    Then a limit of 100000 bytes closes <closed>

    Examples:
      | held              | ahead         | closed |
      | 60000,30000,9000  | 60000,30000,0 | none   |
      | 60000,30000,20000 | 0,30000,20000 | 2      |
      | 60000,30000,20000 | 16384,0,0     | none   |
      | 90000,40000,30000 | 0,40000,30000 | 2,3    |
      | 90000,90000,90000 | 0,0,0         | 1      |

  # Guards against refusing ordinary bodies for what other clients hold.
  Scenario Outline: With connections that hold <held> bytes, a body of <bytes> bytes is <result>
    Given connections that hold <held> bytes, 0 of them sent ahead
    Then with a limit of 100000 bytes, a body of <bytes> bytes is <result>

    Examples:
      | held          | bytes   | result  |
      | 100000        | 4000000 | read    |
      | 100001        | 0       | read    |
      | 100001        | 65536   | read    |
      | 100001        | 65537   | refused |
      | 100001        | unknown | refused |
      | 100001,100000 | 100     | read    |
