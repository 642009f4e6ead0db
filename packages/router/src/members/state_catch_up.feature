Feature: A daemon takes news of configuration and backend servers from its peers

  Scenario: A peer that does not answer holds up no other
    Given a daemon at version 1 of the backend list
    When it hears that "cut" knows version 5, but it answers no call
    And it hears that "well" knows version 5
    Then it knows version 5 of the backend list

  Scenario: A peer that is being asked is not asked again
    Given a daemon at version 1 of the backend list
    When it hears that "cut" knows version 5, but it answers no call
    And it hears that "cut" knows version 6, but it answers no call
    Then 1 call was sent to its peers

  Scenario: An older list from a slower peer changes nothing
    Given a daemon at version 7 of the backend list
    When it hears that "well" knows version 5
    Then it knows version 7 of the backend list
    And 0 calls were sent to its peers
