Feature: The log of a process is complete when the process has ended

  # Guards against a check of a log that misses the last lines of a busy process.
  Scenario: What a process wrote before its end is in its log
    When 5 processes that write 2000 lines and end are run while files are written slowly
    Then each log has 2000 lines
