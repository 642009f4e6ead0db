Feature: Which messages are blamed for crashes of engines

  Background:
    Given a daemon that attributes crashes to messages of chats

  Scenario: A message under which three engines crashed is condemned
    When engines "e1,e2,e3" crash in turn under chats with the message "dead"
    Then "dead" is condemned

  # Guards against counting cuts at engines that have not come back, whose
  # listener is left: any message would be blamed while all engines are down.
  Scenario: A message of chats that were cut at crashed engines is not condemned
    When engines "e1,e2,e3" crash in turn under chats with the message "dead"
    And 2100 ms pass
    And chats with the message "sound" are cut in turn at "e1,e2,e3"
    Then "dead" is condemned
    And "sound" is not condemned

  Scenario: An engine that has answered since its crash may crash under another message
    When engines "e1,e2,e3" crash in turn under chats with the message "dead"
    And 2100 ms pass
    And engines "e1,e2,e3" answer chats with the message "sound"
    And engines "e1,e2,e3" crash in turn under chats with the message "other"
    Then "other" is condemned
