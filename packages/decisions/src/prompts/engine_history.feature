Feature: Preferred engines of subjects while engines join and leave

  Scenario: Engines that start one after the other get similar shares of the subjects
    Given engines 1 to 13 that started within 2000 ms from 0 ms on
    When the preferred engines of 1000 subjects are computed at 15000 ms
    Then each engine is the preferred engine of 40 to 120 subjects

  Scenario: A rolling release moves only the subjects of engines that left
    Given engines 1 to 13 that started within 2000 ms from 0 ms on
    And the preferred engines of 1000 subjects are computed at 100000 ms
    When engine 14 joins at 101000 ms
    And engine 1 leaves at 104000 ms
    And engine 15 joins at 105000 ms
    And engine 2 leaves at 108000 ms
    Then at 110000 ms only the subjects of engines 1 and 2 have another preferred engine

  Scenario: Daemons that receive the same changes at different times agree
    Given engines 1 to 13 that started within 2000 ms from 0 ms on
    When engine 14 joins at 101000 ms
    And engine 1 leaves at 104000 ms, which the other daemon receives 400 ms later
    Then both daemons agree on the preferred engines of 1000 subjects at 110000 ms

  Scenario: An engine that joined has its share of the subjects a minute later
    Given engines 1 to 13 that started within 2000 ms from 0 ms on
    When engine 14 joins at 101000 ms
    And the preferred engines of 1000 subjects are computed at 170000 ms
    Then each engine is the preferred engine of 40 to 120 subjects

  Scenario: An engine that restarts with an empty cache does not get its subjects back
    Given engines 1 to 13 that started within 2000 ms from 0 ms on
    When engine 1 leaves at 101000 ms
    And engine 1 joins at 105000 ms
    And the preferred engines of 1000 subjects are computed at 110000 ms
    Then engine 1 is the preferred engine of at most 0 subjects

  Scenario: A daemon that starts after a release agrees once it has the ended engines
    Given engines 1 to 13 that started within 2000 ms from 0 ms on
    When engine 14 joins at 101000 ms
    And engine 1 leaves at 104000 ms
    And engine 2 leaves at 106000 ms
    And the other daemon restarts at 108000 ms and receives the ended engines
    Then both daemons agree on the preferred engines of 1000 subjects at 110000 ms
