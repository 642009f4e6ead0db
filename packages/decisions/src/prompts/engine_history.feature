Feature: Homes of subjects while engines join and leave

  Scenario: Engines that start one after the other share the subjects
    Given engines 1 to 13 that started within 2000 ms at 0 ms
    When the homes of 1000 subjects are listed at 15000 ms
    Then each engine is home of 40 to 120 subjects

  Scenario: A release moves only the subjects of engines that left
    Given engines 1 to 13 that started within 2000 ms at 0 ms
    And the homes of 1000 subjects are listed at 100000 ms
    When engine 14 joins at 101000 ms
    And engine 1 leaves at 104000 ms
    And engine 15 joins at 105000 ms
    And engine 2 leaves at 108000 ms
    Then at 110000 ms only subjects of engines 1 and 2 have another home

  Scenario: Daemons that heard of the same changes at other moments agree
    Given engines 1 to 13 that started within 2000 ms at 0 ms
    When engine 14 joins at 101000 ms
    And engine 1 leaves at 104000 ms, which another daemon hears 400 ms later
    Then both daemons agree on the homes of 1000 subjects at 110000 ms

  Scenario: A minute later an engine that joined has its share
    Given engines 1 to 13 that started within 2000 ms at 0 ms
    When engine 14 joins at 101000 ms
    And the homes of 1000 subjects are listed at 170000 ms
    Then each engine is home of 40 to 120 subjects

  Scenario: An engine that comes back empty does not take its subjects back
    Given engines 1 to 13 that started within 2000 ms at 0 ms
    When engine 1 leaves at 101000 ms
    And engine 1 joins at 105000 ms
    And the homes of 1000 subjects are listed at 110000 ms
    Then engine 1 is home of at most 0 subjects

  Scenario: A daemon that starts after a release agrees once it knows the ends
    Given engines 1 to 13 that started within 2000 ms at 0 ms
    When engine 14 joins at 101000 ms
    And engine 1 leaves at 104000 ms
    And engine 2 leaves at 106000 ms
    And the other daemon starts anew at 108000 ms and is told of the ends
    Then both daemons agree on the homes of 1000 subjects at 110000 ms
