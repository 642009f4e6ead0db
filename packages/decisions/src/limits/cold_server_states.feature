Feature: Which servers count as cold, and for how long

  # Guards against a burst on a server that is taken to be warm, and against
  # holding back requests to a warm server for long.
  Scenario Outline: A server that <has happened> is <first>, and <later> after <seconds> s
    Given a service whose servers are cold for 3 s after a start
    When a listed server <has happened>
    Then the listed server is <first>
    When <seconds> s pass at the listed server
    Then the listed server is <later>

    Examples:
      | has happened                                                  | first | seconds | later |
      | is in the first list                                          | warm  | 1       | warm  |
      | is in the first list, born 1 s ago                            | cold  | 2.9     | cold  |
      | is in the first list, born 1 s ago                            | cold  | 3       | warm  |
      | is in the first list, born 4 s ago                            | warm  | 1       | warm  |
      | is in the first list, reports 2 s                             | cold  | 1.9     | cold  |
      | is in the first list, reports 2 s                             | cold  | 2       | warm  |
      | is new                                                        | cold  | 2.9     | cold  |
      | is new                                                        | cold  | 3       | warm  |
      | is new, reports 0 s                                           | warm  | 1       | warm  |
      | is new, reports 9 s                                           | cold  | 8.9     | cold  |
      | is new, reports 9 s, reports 0 s                              | warm  | 1       | warm  |
      | is in the first list, reports 0 s, reports 2 s                | cold  | 1.9     | cold  |
      | is in the first list, reports 2 s, lists the row again        | cold  | 1.1     | warm  |
      | is in the first list, starts anew                             | cold  | 2.9     | cold  |
      | is in the first list, starts anew, reports 0 s                | warm  | 1       | warm  |
      | is in the first list, is unreachable                          | cold  | 2.9     | cold  |
      | is in the first list, is unreachable                          | cold  | 3       | warm  |
      | is in the first list, is unreachable, replies                 | cold  | 2.9     | cold  |
      | is in the first list, is unreachable, replies, replies        | cold  | 2       | warm  |
      | is in the first list, is unreachable, reports 0 s             | warm  | 1       | warm  |
      | is in the first list, replies, is unreachable                 | cold  | 2.9     | cold  |
      | is in the first list, replies, is unreachable for 2 s         | warm  | 1       | warm  |
      | is in the first list, replies                                 | warm  | 1       | warm  |
      | is in the first list, reports 0 s, its zone has returned      | cold  | 2.9     | cold  |
      | is in the first list, reports 9 s, its zone has returned      | cold  | 7.9     | cold  |
      | is new, is removed                                            | warm  | 1       | warm  |
