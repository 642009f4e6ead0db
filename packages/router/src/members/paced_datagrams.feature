Feature: Heartbeats to many daemons do not fill the queue of a link

  # A daemon of a fleet of 81 sent its heartbeat to all others at once. On a link
  # of 7 Mbit/s packets of streams were dropped, and sent again 200 ms later.
  Scenario Outline: A heartbeat to <daemons> daemons leaves in small groups
    Given a heartbeat of 700 bytes to <daemons> daemons waits
    When the waiting datagrams are sent
    Then at most 3500 bytes leave at once
    And each daemon gets 1 datagram within <ms> ms

    Examples:
      | daemons | ms  |
      | 4       | 0   |
      | 22      | 40  |
      | 80      | 150 |
      | 359     | 750 |

  Scenario: A newer heartbeat replaces the one that waits
    Given a heartbeat of 700 bytes to 80 daemons waits
    And a heartbeat of 900 bytes to 80 daemons waits
    When the waiting datagrams are sent
    Then each daemon gets 1 datagram within 150 ms
    And each datagram has 900 bytes
