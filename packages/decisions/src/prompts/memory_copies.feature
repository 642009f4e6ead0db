Feature: Copying what an engine has read of a subject instead of reading it again

  Scenario: A hot subject is copied from its home to the engines it spreads over
    Given 13 engines with 8 prompts each that know no subject yet
    When 60 prompts of a subject of 10000 tokens are placed and stay
    Then each engine but its home copied it once, from its home
    And its home copied nothing

  Scenario: Subjects of an engine that leaves are copied from it
    Given 13 engines with 8 prompts each that know no subject yet
    When engine 1 leaves, and 1000 ms later 200 subjects of 10000 tokens are placed
    Then all subjects whose home was engine 1 are copied from it, no others

  Scenario: An engine that left long ago is no source
    Given 13 engines with 8 prompts each that know no subject yet
    When engine 1 leaves, and 11000 ms later 200 subjects of 10000 tokens are placed
    Then nothing is copied

  Scenario: A subject that is read faster than it is copied is not copied
    Given 13 engines with 8 prompts each that know no subject yet
    When engine 1 leaves, and 1000 ms later 200 subjects of 100 tokens are placed
    Then nothing is copied

  Scenario: A home that comes back empty copies from the engine that took its place
    Given 13 engines with 8 prompts each that know no subject yet
    When the home of a subject of 10000 tokens is avoided for one prompt and then lost its memory
    Then the next prompt at its home copies it from the engine that took its place
