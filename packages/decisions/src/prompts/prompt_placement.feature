Feature: Placement of prompts that share parts, with skewed load and hot subjects

  Scenario: All prompts of a subject go to one engine while loads are equal
    Given 13 engines with 8 prompts in flight each
    When 200 prompts of one subject are placed, each ending at once
    Then the prompts went to 1 engine

  Scenario: A prompt without shared parts goes to the least loaded engine
    Given 5 engines with 4 prompts in flight each
    And engine 3 has only 1 prompt in flight
    When a prompt without shared parts is placed
    Then the prompt went to engine 3

  Scenario Outline: A hot subject spreads over few engines and overloads none
    Given <engines> engines with <each> prompts in flight each
    When <prompts> prompts of one subject are placed and stay in flight
    Then no engine got a prompt while its load was above twice the mean plus 3
    And the prompts went to at most <most> engines

    Examples:
      | engines | each | prompts | most |
      | 13      | 8    | 40      | 8    |
      | 13      | 0    | 30      | 13   |
      | 63      | 8    | 100     | 24   |

  Scenario: An engine that joins gets no subject that may be warm on another engine
    Given 13 engines with 8 prompts in flight each
    When the preferred engines of 400 subjects are compared with and without one more engine
    Then no subject moved

  Scenario: Warm subjects stay on their engines when an engine joins
    Given 13 engines with 8 prompts in flight each
    And 400 subjects were placed once
    When 1 engine joins
    Then all 400 subjects are placed on the same engines as before

  Scenario: Subjects of an engine that leaves move, and all others stay
    Given 13 engines with 8 prompts in flight each
    And 400 subjects were placed once
    When 1 engine joins
    And engine 1 leaves
    Then only the subjects of engine 1 are placed on another engine

  Scenario: A subject does not return to an engine that lost its cache
    Given 4 engines with 2 prompts in flight each
    And 100 subjects were placed once
    When engine 1 crashes, all subjects are placed, and that engine returns
    Then no subject is placed on engine 1

  Scenario: Subjects of an avoided engine go to the next engine in hash order
    Given 4 engines with 2 prompts in flight each
    And every engine but engine 2 is avoided
    When a prompt with a subject is placed
    Then the prompt went to engine 2
