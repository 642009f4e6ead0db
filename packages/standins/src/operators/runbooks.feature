Feature: Operators' pages name only what exists
  Every metric, log line, command, option and page that they name exists.

  Scenario: The pages are checked against the source and the commands' help
    Given the operators' pages
    Then every metric that they name is in the source of a daemon
    And every log prefix and log sentence that they name is in the source
    And every command and option that they name is in the client's help
    And every page that they link to exists
    And none of their lines of output is wider than a terminal for status
