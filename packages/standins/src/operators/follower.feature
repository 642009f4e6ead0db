Feature: Daemons follow the accepted configuration
  Revisions only rise, wrong parts are refused, and peers help where the store
  does not answer or shows the past.

  Scenario Outline: <case>
    Given configuration followers a and b, where <held>
    When for the follower <event>
    Then follower a has revision <revision>, <confirmed>, refusing <refused>

    Examples:
      | case                                          | held              | event                                     | revision | confirmed     | refused |
      | A revision is accepted                        | both have 1       | revision 2 is accepted and polled         | 2        | confirmed     | nothing |
      | The store answers from the past               | both have 2       | the store shows revision 1                | 2        | not confirmed | nothing |
      | The store lost everything                     | both have 2       | the store shows nothing                   | 2        | not confirmed | nothing |
      | The store shows the past to a new daemon      | only b has 2      | the store shows revision 1                | 2        | not confirmed | nothing |
      | A daemon boots during the outage              | only b has 2      | the store is down                         | 2        | not confirmed | nothing |
      | A daemon boots during the outage alone        | nobody has any    | the store is down                         | 0        | not confirmed | nothing |
      | An outage starts just after a revision        | a has 1, b has 2  | the store is down                         | 2        | not confirmed | nothing |
      | A daemon was frozen across an outage          | a has 1, b has 2  | the store was down and answers again      | 2        | confirmed     | nothing |
      | A part was edited in the store                | both have 1       | revision 2 has an edited part             | 1        | not confirmed | a part  |
      | A part is missing in the store                | both have 1       | revision 2 has a missing part             | 1        | not confirmed | a part  |
      | An edited part is whole at a peer             | a has 1, b has 2  | revision 2 has an edited part             | 2        | confirmed     | nothing |
      | A peer gives an edited part                   | a has 1, b has 2  | the store is down and b gives edited parts | 1       | not confirmed | nothing |
      | The row is edited by hand                     | both have 1       | the current row is edited                 | 1        | not confirmed | a row   |

  Scenario: One customer's change costs a daemon a few kilobytes among 30000
    Given a configuration store with 30000 customers and a follower that has them
    When one customer's limit is changed
    Then the follower reads at most 8000 bytes and finds the new limit
    And a new follower reads everything in at most 40 calls
