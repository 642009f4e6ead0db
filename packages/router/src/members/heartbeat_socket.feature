Feature: Malformed datagrams are ignored

  # Guards against one malformed message that takes a process down.

  Scenario Outline: After <count> datagrams of <content> the next heartbeat is received
    Given a daemon that receives heartbeats and load messages
    When <count> datagrams of <content> arrive
    And a valid heartbeat and a valid load message arrive
    Then the daemon has received them and no other heartbeat or load message

    Examples:
      | count | content                       |
      | 200   | random bytes                  |
      | 200   | random JSON                   |
      | 200   | a heartbeat with a wrong type |
      | 200   | a load message cut short      |
