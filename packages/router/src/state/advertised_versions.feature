Feature: A daemon knows how long its configuration has been outdated

  # Guards against ages that hide a lag: a daemon that lacked a configuration for
  # ten seconds logged an age of 31 ms, because peers that lacked it too, and
  # reads of other rows, confirmed the old one.
  Scenario: Nothing confirms a configuration that a peer has replaced
    Given a daemon with configuration 4 at 0 ms
    When a peer advertises configuration 5 at 1000 ms
    And a peer with configuration 4 confirms at 3000 ms
    And the store confirms the configuration at 3000 ms
    Then at 4000 ms the configuration is 4000 ms old and lags by 3000 ms behind 5

  Scenario: Only peers with the same configuration confirm it
    Given a daemon with configuration 4 at 0 ms
    When a peer with configuration 3 confirms at 500 ms
    Then at 600 ms the configuration is 600 ms old and lags by 0 ms
    When a peer with configuration 4 confirms at 700 ms
    Then at 800 ms the configuration is 100 ms old and lags by 0 ms

  Scenario: The lag counts from the first newer version to the newest one
    Given a daemon with configuration 4 at 0 ms
    When a peer advertises configuration 5 at 1000 ms
    And a peer advertises configuration 6 at 2000 ms
    Then at 2500 ms the configuration is 2500 ms old and lags by 1500 ms behind 6
    When configuration 5 becomes active at 3000 ms
    Then the activation ended a lag of 2000 ms
    And at 3000 ms the configuration is 3000 ms old and lags by 1000 ms behind 6
    When configuration 6 becomes active at 3500 ms
    Then the activation ended a lag of 1500 ms
    And at 3600 ms the configuration is 100 ms old and lags by 0 ms

  Scenario: A version that no running peer advertises any more does not count
    Given a daemon with configuration 4 at 0 ms
    When a peer advertises configuration 6 at 1000 ms
    And a peer advertises configuration 5 at 1500 ms
    And the running peers have configurations "4,5" at 2000 ms
    Then at 2000 ms the configuration is 2000 ms old and lags by 500 ms behind 5
    When the running peers have configurations "4" at 3000 ms
    Then at 3000 ms the configuration is 3000 ms old and lags by 0 ms
