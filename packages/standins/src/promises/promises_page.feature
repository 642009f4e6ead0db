Feature: The page of promises
  docs/PROMISES.md says what is proved and by which feature.

  Scenario: Each row names what proves it
    When the page of promises is read
    Then each of its rows has a known state
    And each row that is proved names a feature
    And each feature that the page names exists
