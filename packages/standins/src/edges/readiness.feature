Feature: A daemon says truly whether it is alive and ready

  Scenario Outline: A daemon that cannot read its <what> is alive and not ready
    Given a daemon that starts while its <what> cannot be read
    Then it is alive and not ready while <sign>
    And it is ready once its <what> can be read

    Examples:
      | what          | sign                                 |
      | configuration | it refuses calls as no-configuration |
      | host list     | its configuration is in force        |

  Scenario: A daemon that stops is alive and not ready, and still serves
    Given a daemon whose callers keep its answers for 8000 ms
    When it is told to stop by a signal
    Then it is alive and not ready while it answers calls
    And it ends with code 0 when its callers have gone
