Feature: The pages of promises name their features
  docs/PROMISES.md and docs/PLATFORM_PROMISES.md say which promises are proved
  and by which feature.

  Scenario: Each proved promise names an existing feature
    When the pages of promises are read
    Then each row of the pages has a valid state
    And each row in state proved names a feature
    And each feature named on the pages exists
