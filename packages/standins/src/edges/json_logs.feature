Feature: Logs for machines

  Scenario: Each line is one JSON object without customers' text or secrets
    Given a daemon that logs one JSON object a line
    When customers send text, keys and reservations, and an engine is lost
    And the daemon is stopped and its log is read
    Then each line parses and has its time, part and sentence
    And its parts say at least that it listened, that an attempt failed and that it stopped
    And no line holds customers' text or a secret
