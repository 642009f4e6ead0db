Feature: Callers are told of a reply that a failing backend server cut short or broke otherwise
  The daemon's own interface in front of one backend server on a raw connection.

  # Guards against a part of a reply that looks complete, against a status that is
  # none, and against bytes that are no reply in HTTP.
  Scenario Outline: Calls of every kind in front of a backend server that <does>
    When callers send a call of every kind through a backend server that <does>
    Then every call of these was told failed or unknown, and reached the server
    And the at-most-once call of these reached the server once

    Examples:
      | does                                         |
      | resets after a part without a length         |
      | resets after a part of the length            |
      | resets after a chunk                         |
      | resets in the middle of a chunk              |
      | answers with status 000                      |
      | answers with status 099                      |
      | answers with status 600                      |
      | answers with status 999                      |
      | answers with status 1000                     |
      | answers with status 20x                      |
      | answers with status 101                      |
      | answers with the status line RTSP/1.0 200 OK |
      | answers with the status line HTTP/2.0 200 OK |
      | answers with a blank in a name               |
      | answers with a control byte in a name        |
      | answers with a folded line                   |
      | answers with two lengths                     |
      | answers with chunks coded twice              |
      | answers with a coding in trailers            |
