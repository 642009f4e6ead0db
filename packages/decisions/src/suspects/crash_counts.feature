Feature: Counting the servers that crash under one request

  Scenario: A cut alone is no crash
    Given no crashes are counted
    When request "r" is cut at 5 servers that stay up
    Then request "r" may be sent

  Scenario: Three servers that went down under a request condemn it
    Given no crashes are counted
    When request "r" is cut at 3 servers that go down 200 ms later
    Then request "r" is condemned

  Scenario: A server that goes down long after a cut does not count
    Given no crashes are counted
    When request "r" is cut at 3 servers that go down 5000 ms later
    Then request "r" may be sent

  Scenario: Crashes that another daemon counted condemn here too
    Given no crashes are counted
    When another daemon tells of 3 crashes under request "r"
    Then request "r" is condemned

  Scenario: A request that ran whole is cleared
    Given no crashes are counted
    When request "r" is cut at 2 servers that go down 200 ms later
    And request "r" ran whole
    And request "r" is cut at 2 servers that go down 200 ms later
    Then request "r" may be sent
