Feature: A message that crashes engines, in chats of which no two are alike

  # Guards against knowing a chat by its whole body alone: each of these chats
  # would crash the engines of its first run and of its trial.
  Scenario: Chats that share a message which kills, sent 24 times while unrelated chats run
    Given a fleet of five daemons whose crashed backend servers are restarted
    And unrelated chats and lookups in flight on every backend server
    When 24 different chats that share a message which kills are sent, to the daemons in turn
    Then at most 5 backend servers crashed from the chats that kill
    And the last 12 chats were refused as suspects, and none of them ran
    And every unrelated request was answered and none was refused as a suspect
