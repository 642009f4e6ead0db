Feature: Holding what servers say of themselves

  Scenario Outline: A server that <says> is <first>, and <later> after <seconds> s
    Given a server that <says>
    Then the server is <first>
    When <seconds> s pass for the server
    Then the server is <later>

    Examples:
      | says                                         | first       | seconds | later       |
      | is leaving                                   | unavailable | 3600    | unavailable |
      | wants a pause of 2 s                         | unavailable | 1.9     | unavailable |
      | wants a pause of 2 s                         | unavailable | 2       | available   |
      | wants a pause of 5 s, then one of 2 s        | unavailable | 4       | unavailable |
      | wants a pause of 1000000000 s                | unavailable | 3600    | available   |
      | is leaving, then starts anew                 | available   | 1       | available   |
      | wants a pause of 9 s, then starts anew       | available   | 1       | available   |
      | was replaced                                 | unavailable | 4.9     | unavailable |
      | was replaced                                 | unavailable | 5       | available   |
      | was replaced, then starts anew               | available   | 1       | available   |

  Scenario: A client waits for the first of several servers
    Given servers that want pauses of 5 s, 2 s and 9 s
    Then the first takes requests after 2 s
    When 3 s pass for the server
    Then the first takes requests after 0 s

  Scenario: A client does not wait for a server that was replaced
    Given servers that want pauses of 5 s, 2 s and 9 s
    When the first of them was replaced
    Then the first takes requests after 5 s
