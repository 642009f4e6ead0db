Feature: All daemons together send few requests to a cold server

  # Guards against a burst on a server that has just started: each daemon finds
  # it idle, and daemons learn of each other and of the server at other times.
  Scenario Outline: <daemons> daemons that <event> stay within the bound in every second
    Given a bound of 11 requests per second x 1.5 + 5 for a cold server
    And <daemons> daemons that want to send as much as they can, for <seconds> s
    When during this time the daemons <event>
    Then in no second more than 21 requests reach one of the cold servers
    And each cold server gets at least <least> requests per second

    Examples:
      | daemons | seconds | event                                       | least |
      | 5       | 20      | lose every tenth heartbeat                  | 3.5   |
      | 23      | 20      | lose every tenth heartbeat                  | 3.5   |
      | 81      | 20      | lose every tenth heartbeat                  | 3.5   |
      | 360     | 8       | lose every tenth heartbeat                  | 3.5   |
      | 5       | 20      | all start at once                           | 3     |
      | 23      | 20      | all start at once                           | 3     |
      | 81      | 20      | all start at once                           | 3     |
      | 360     | 8       | all start at once                           | 3     |
      | 5       | 30      | stop and start again one after the other    | 1     |
      | 23      | 30      | stop and start again one after the other    | 1     |
      | 81      | 30      | stop and start again one after the other    | 1     |
      | 360     | 8       | stop and start again one after the other    | 1     |
      | 5       | 30      | are divided in 2 parts                      | 2     |
      | 23      | 30      | are divided in 2 parts                      | 2     |
      | 81      | 50      | are divided in 2 parts                      | 2     |
      | 23      | 30      | are divided in 3 parts                      | 2     |
      | 81      | 50      | are divided in 3 parts                      | 2     |
      | 5       | 30      | do not reach one of them                    | 2     |
      | 23      | 30      | do not reach one of them                    | 2     |
      | 81      | 50      | do not reach one of them                    | 2     |
      | 23      | 20      | find the servers cold again every 3 s       | 2     |
      | 81      | 20      | find the servers cold again every 3 s       | 2     |

  # Guards against a bound that is lost or exceeded by the split into shares.
  Scenario Outline: A bound of <rate> x <overage> + <slack> is split into <senders> senders with a token every <interval> ms
    Given a bound of <rate> requests per second x <overage> + <slack> for a cold server
    Then it has <senders> senders, each with a token every <interval> ms
    And two conflicting views of the members stay within the bound

    Examples:
      | rate | overage | slack | senders | interval |
      | 11   | 1.5     | 5     | 4       | 800      |
      | 11   | 1       | 0     | 2       | 771      |
      | 100  | 2       | 10    | 42      | 900      |
      | 1    | 2       | 0     | 1       | 2000     |
      | 0.5  | 1       | 0     | 0       | Infinity |

  Scenario: A client is told when a token is due
    Given a bound of 11 requests per second x 1.5 + 5 for a cold server
    And a daemon that knows no other has found the server cold 300 ms ago
    Then it sends no request to the server, and the next token is due in 500 ms
    When 500 ms pass at the cold server
    Then it sends one request to the server, and the next token is due in 800 ms
