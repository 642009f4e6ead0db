Feature: Connections take turns on the event loop

  # Guards against a client whose delay grows with a crowd of others, each of
  # which always has requests to be read. Fails with turns in order of arrival:
  # a client then waits for a turn of each other one.
  Scenario Outline: A client with <bytes> bytes beside <crowd> others that always have <backlog> bytes
    Given <crowd> connections that always have <backlog> bytes to be read
    And 2000 turns were taken
    When another client asks for a turn for <bytes> bytes 50 times in a row
    Then it waits for at most <most> other turns on average

    Examples:
      | crowd | backlog | bytes | most |
      | 10    | 16384   | 600   | 2    |
      | 100   | 16384   | 600   | 10   |
      | 1000  | 16384   | 600   | 100  |
      | 1000  | 100     | 600   | 1500 |

  Scenario: Connections that always have something to be read share the turns
    Given 100 connections that always have 16384 bytes to be read
    And 10000 turns were taken
    Then each connection had 100 turns

  Scenario: A connection has one turn for several requests for it, and none once it is closed
    Given 3 connections that wait for a turn
    When the first asks again and the second is closed
    Then the turns are those of the connections "1,3"

  # Guards against iterations that grow with what waits, and against new clients
  # that are accepted only after as many batches as others have connected.
  Scenario Outline: After iterations of <durations> ms, <turns> turns are given
    When iterations of the event loop took <durations> ms
    Then a batch in which each turn takes <turnMs> ms has <turns> turns

    Examples:
      | durations            | turnMs | turns |
      | 1                    | 0      | 64    |
      | 11                   | 0      | 32    |
      | 11,11,11,11,11,11,11 | 0      | 4     |
      | 11,11,11,11,1,1      | 0      | 12    |
      | 1                    | 2      | 3     |
      | 1                    | 20     | 1     |

  Scenario: Iterations without turns while connections are accepted
    Then of 100 iterations in which connections are accepted 5 have turns
    And of 100 iterations in which none is accepted 100 have turns
