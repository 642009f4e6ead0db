Feature: Counting the servers that crash while they run one request

  Scenario: Disconnects from servers that stay up are no crashes
    Given no crashes are counted
    When request "r" is disconnected from 5 servers that stay up
    Then request "r" may be sent

  Scenario: A request is condemned after three servers went down while running it
    Given no crashes are counted
    When request "r" is disconnected from 3 servers that go down 200 ms later
    Then request "r" is condemned

  Scenario: A server that goes down long after a disconnect does not count
    Given no crashes are counted
    When request "r" is disconnected from 3 servers that go down 5000 ms later
    Then request "r" may be sent

  Scenario: A request is condemned by crashes that another daemon counted
    Given no crashes are counted
    When another daemon reports 3 crashes of request "r"
    Then request "r" is condemned

  Scenario: A completed request is cleared
    Given no crashes are counted
    When request "r" is disconnected from 2 servers that go down 200 ms later
    And request "r" completes
    And request "r" is disconnected from 2 servers that go down 200 ms later
    Then request "r" may be sent

  # The larger of two counts was kept once, so that daemons which had each seen
  # other crashes never had three.
  Scenario: Crashes that several daemons saw add up
    Given no crashes are counted
    When another daemon reports 2 crashes of request "r"
    And request "r" is disconnected from 1 servers that go down 200 ms later
    Then request "r" is condemned

  Scenario: A sound request that ran beside each crash is explained by the one that caused them
    Given no crashes are counted
    When requests "r" and "sound" are disconnected from 3 servers that go down 200 ms later, and "r" from 1 more
    Then request "r" is condemned
    And request "sound" may be sent
