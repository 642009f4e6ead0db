Feature: Peers learn which servers are cold with the list of backend servers

  # Guards against peers that fetch the list whenever a server writes its
  # remaining cold time, and against peers that never learn of a cold server.
  Scenario Outline: An entry that <changes> <counts> as a change of the list
    Given a daemon with the entry of a server, cold for <before> ms
    When 1000 ms pass and the entry of the server <changes>
    Then it <counts> as a change of the list
    And the daemon knows that the server is cold for <after> ms

    Examples:
      | before | changes                       | counts         | after |
      | 3000   | says that 2000 ms are left    | does not count | 2000  |
      | 3000   | says that 2100 ms are left    | does not count | 2100  |
      | 3000   | says that 0 ms are left       | does not count | 0     |
      | 0      | says that 0 ms are left       | does not count | 0     |
      | 0      | says that 3000 ms are left    | counts         | 3000  |
      | 3000   | says that 9000 ms are left    | counts         | 9000  |
      | 3000   | says nothing of its cold time | counts         | 2000  |
      | 3000   | is read again                 | does not count | 2000  |
      | 3000   | says that it is draining      | counts         | 2000  |

  Scenario: A peer learns the remaining time of a cold server and the bound of its service
    Given a daemon with the entry of a server, cold for 3000 ms
    When a peer that knows cold servers fetches the state 1000 ms later
    Then the peer knows that the server is cold for 2000 ms, and the bound of its service

  # Guards against a rolling upgrade in which old daemons reject the message.
  Scenario: A peer of an earlier release gets a message without cold servers
    Given a daemon with the entry of a server, cold for 3000 ms
    When a peer of an earlier release fetches the state
    Then the message says nothing of cold servers

  Scenario Outline: A daemon asks a peer <heartbeat> <asked> cold servers
    When a daemon fetches the state of a peer <heartbeat>
    Then its query <asked> cold servers

    Examples:
      | heartbeat                                | asked         |
      | whose heartbeat says nothing of them     | does not name |
      | whose heartbeat says that it knows them  | names         |
