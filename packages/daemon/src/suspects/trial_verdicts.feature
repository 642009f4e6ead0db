Feature: Whether a crash during a trial condemns the request on trial

  Background:
    Given a daemon on which a chat with the message "trial" runs as a trial on "engine-1"

  Scenario: A crash with no other suspect message is blamed on the trial at once
    When "engine-1" crashes during the trial
    Then the request is to blame, decided within 900 ms

  # Guards against condemning a sound request for the crash of a chat that was
  # never a suspect, sent through another daemon to the server of its trial.
  Scenario: A crash that a condemned message of another chat explains is not blamed on the trial
    Given the message "dead" crashed 3 engines, the last of them "engine-1" during the trial
    When "engine-1" crashes during the trial
    Then the request is not to blame, decided within 900 ms

  Scenario: The other daemon's report is waited for while one more crash condemns a message
    Given the message "dead" crashed 2 engines
    When "engine-1" crashes during the trial, as another daemon reports 300 ms later for "dead"
    Then the request is not to blame, decided within 900 ms

  Scenario: Without such a report the trial is to blame
    Given the message "dead" crashed 2 engines
    When "engine-1" crashes during the trial
    Then the request is to blame, decided within 5000 ms

  Scenario: A condemned message that crashed the server before the trial explains nothing
    Given the message "dead" crashed 3 engines, the last of them "engine-1" before the trial
    When "engine-1" crashes during the trial
    Then the request is to blame, decided within 5000 ms

  Scenario: The request's own condemned message does not excuse it
    Given the message "trial" crashed 3 engines, the last of them "engine-1" during the trial
    When "engine-1" crashes during the trial
    Then the request is to blame, decided within 900 ms
