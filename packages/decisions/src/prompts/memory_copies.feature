Feature: Copying a subject's cached context between engines instead of repeating its prefill

  Scenario: A hot subject is copied from its preferred engine to the engines it spreads over
    Given 13 engines with 8 prompts each and no cached subjects
    When 60 prompts of a subject of 10000 tokens are placed and stay in flight
    Then every other engine that got a prompt copied the subject once, from the preferred engine
    And the preferred engine copied nothing

  Scenario: Subjects of an engine that leaves are copied from that engine
    Given 13 engines with 8 prompts each and no cached subjects
    When engine 1 leaves, and 1000 ms later 200 subjects of 10000 tokens are placed
    Then all subjects of engine 1 are copied from that engine, and no other subjects

  Scenario: Nothing is copied from an engine that left long ago
    Given 13 engines with 8 prompts each and no cached subjects
    When engine 1 leaves, and 11000 ms later 200 subjects of 10000 tokens are placed
    Then nothing is copied

  Scenario: A subject that is faster to prefill than to copy is not copied
    Given 13 engines with 8 prompts each and no cached subjects
    When engine 1 leaves, and 1000 ms later 200 subjects of 100 tokens are placed
    Then nothing is copied

  Scenario: A preferred engine that lost its cache copies from the engine that served the subject meanwhile
    Given 13 engines with 8 prompts each and no cached subjects
    When the preferred engine of a subject of 10000 tokens loses its cache and is avoided for one prompt
    Then the next prompt on the preferred engine copies the subject from the engine that served the prompt meanwhile
