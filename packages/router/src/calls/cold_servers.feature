Feature: A daemon holds back requests to cold servers only where it should

  # A bound below one request per second gives no token, so that a cold server is
  # never available and the scenarios do not depend on time.
  Scenario Outline: A server <of> is <available>
    Given a daemon with a list of one server <of>
    Then the server of the daemon is <available>

    Examples:
      | of                                               | available     |
      | whose entry says nothing                         | available     |
      | whose entry says that it is cold                 | held back     |
      | whose entry says that it is cold, without limits | available     |
      | whose entry says that it is cold, without bound  | available     |

  # Guards against a burst on servers that return all at once.
  Scenario: A server counts as cold when the evacuation of its zone ends
    Given a daemon with a list of one server whose entry says nothing
    And the zone of the server is evacuated for the daemon
    Then the server of the daemon is available
    When the evacuation of the zone of the server ends
    Then the server of the daemon is held back

  Scenario: A server counts as cold when it could not be reached, and for some time after it replied
    Given a daemon with a list of one server whose entry says nothing
    When an attempt of the daemon cannot reach the server
    Then the server of the daemon is held back
    When the server replies to the daemon
    Then the server of the daemon is held back

  Scenario: Changed settings turn the bound on and off
    Given a daemon with a list of one server whose entry says that it is cold, without limits
    When settings with limits for cold servers are read
    Then the server of the daemon is held back
    When settings without limits for cold servers are read
    Then the server of the daemon is available
