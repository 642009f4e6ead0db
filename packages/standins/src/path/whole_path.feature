Feature: The whole path through separate processes
  A caller asks the directory, connects to a daemon and gets its own answer.

  Scenario: Chats, lookups and reservations get whole and own answers
    Given a fleet of 3 daemons, 4 engines and 2 workers
    When a chat of 3 turns, a lookup and a reservation are sent
    Then every answer is whole, its request's own and told complete
    And the chat's later turns found their context cached
    And every process ends with code 0 when it is stopped

  Scenario Outline: Wrong settings are all told at once and nothing starts
    Given daemon settings with <wrong>
    When the daemon is started with them
    Then it ends with code 2 and names "<path>"

    Examples:
      | wrong                     | path                                     |
      | a port out of range       | callerListener.port: expected a value    |
      | no availability zone      | availabilityZone                         |
      | an unknown property       | colour: expected no excess property      |
      | a port and a zone missing | controlListener.port                     |
      | broken JSON               | (document): expected JSON                |
      | no keys file              | (document): expected a readable file     |
