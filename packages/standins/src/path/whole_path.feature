Feature: Requests through separate processes
  A caller asks the directory for a daemon, connects to that daemon and receives
  the answer to its own request.

  Scenario: No answer to a chat, lookup or reservation is truncated or mixed up
    Given a fleet of 3 daemons, 4 engines and 2 workers
    When a chat of 3 turns, a lookup and a reservation are sent
    Then every answer is complete, belongs to its request and is reported complete
    And the chat's later turns found their context cached
    And every process ends with code 0 when it is stopped

  Scenario Outline: The daemon does not start with invalid settings and logs every error
    Given daemon settings with <wrong>
    When the daemon is started with these settings
    Then the daemon exits with code 2 and logs "<path>"

    Examples:
      | wrong                     | path                                     |
      | a port out of range       | callerListener.port: expected a value    |
      | no availability zone      | availabilityZone                         |
      | an unknown property       | colour: expected no excess property      |
      | a port and a zone missing | controlListener.port                     |
      | broken JSON               | (document): expected JSON                |
      | no keys file              | (document): expected a readable file     |
