Feature: Which set of evacuated availability zones a daemon uses

  A version is written ERA/REVISION.

  # Guards against a late message, or a daemon that lags, undoing an operator's row.
  Scenario Outline: Of two sets the one of the higher version applies
    Given evacuated zones "a" read from the store at version <held>
    When a peer tells of evacuated zones "b" at version <told>
    Then the evacuated zones are "<zones>"

    Examples:
      | held | told | zones |
      | 0/7  | 0/8  | b     |
      | 0/7  | 0/7  | a     |
      | 0/7  | 0/6  | a     |
      | 0/7  | 0/-1 | a     |
      | 1/7  | 0/9  | a     |
      | 1/7  | 2/8  | a,b   |

  Scenario: Changes of the store apply in order, to what a peer told meanwhile
    Given evacuated zones "a" read from the store at version 0/7
    When a peer tells of evacuated zones "a,b" at version 0/9
    And the store reports at version 0/11 that the evacuation of "b" begins, that of "c" begins and that of "b" ends
    Then the evacuated zones are "a,c"

  Scenario: Changes that the set includes are not applied again
    Given evacuated zones "a" read from the store at version 0/7
    When a peer tells of evacuated zones "" at version 0/9
    And the store reports at version 0/8 that the evacuation of "b" begins
    Then the evacuated zones are ""

  # Guards against requests to a zone whose row was lost with the copy.
  Scenario: An evacuation that is missing after the store returned from an older copy stays for 2 s
    Given evacuated zones "a,b" read from the store at version 1/90
    When the whole table is read with evacuated zones "b" at version 2/40
    Then the evacuated zones are "a,b"
    And the set for peers has the zones "b" at version 2/40
    When 1900 ms of the daemon's clock pass
    Then the evacuated zones are "a,b"
    When 200 ms of the daemon's clock pass
    Then the evacuated zones are "b"

  Scenario: An evacuation that the operator writes again after the return stays
    Given evacuated zones "a" read from the store at version 1/90
    When the whole table is read with evacuated zones "" at version 2/40
    And the store reports at version 2/41 that the evacuation of "a" begins
    And 3000 ms of the daemon's clock pass
    Then the evacuated zones are "a"

  Scenario: An evacuation that the operator ends after the return ends at once
    Given evacuated zones "a" read from the store at version 1/90
    When the whole table is read with evacuated zones "" at version 2/40
    And the store reports at version 2/42 that the evacuation of "a" begins and that of "a" ends
    Then the evacuated zones are ""

  # Guards against serving with a list of servers and no knowledge of evacuations.
  Scenario Outline: A starting daemon is ready only once it knows the evacuations
    Given a starting daemon with a configuration and a list of servers
    When it hears a <state> peer <set>
    Then the starting daemon is <result>

    Examples:
      | state    | set                         | result    |
      | starting | without a set               | not ready |
      | starting | that has read nothing       | not ready |
      | ready    | without a set               | ready     |
      | ready    | with a set at version 0/3   | ready     |
