Feature: A daemon gets a newer configuration once, from a peer or the store

  Background:
    Given a daemon at version 1 of the configuration in zone "a"

  # All followers of the store advertise an update at once. Each of the other
  # daemons read it from the store and fetched it from every follower.
  Scenario: A configuration that several peers advertise is fetched once
    Given peers "first,second,third" hold version 2 and send it in 300 ms
    When the peers advertise their configurations
    And 400 ms pass for the configuration
    Then the daemon holds version 2 of the configuration
    And the peers were asked 1 time for their configurations
    And the store was read 0 times for the configuration

  # Guards against changes of servers that wait for a configuration over the
  # same thin link, so that requests are sent to servers that have left.
  Scenario: A change of backend servers arrives while a configuration is transferred
    Given peer "holder" holds version 2 and sends it in 2000 ms
    And peer "holder" holds revision 5 of the backend list
    When the peers advertise their configurations
    And 100 ms pass for the configuration
    Then the daemon holds version 1 of the configuration
    And the daemon knows revision 5 of the backend list
    When 2000 ms pass for the configuration
    Then the daemon holds version 2 of the configuration

  Scenario: A peer in the same availability zone is asked first
    Given peer "far" in zone "b" holds version 2 and sends it in 10 ms
    And peers "near" hold version 2 and send it in 10 ms
    And peer "farther" in zone "c" holds version 2 and sends it in 10 ms
    When the peers advertise their configurations
    And 20 ms pass for the configuration
    Then the peers were asked in the order "near"

  Scenario: A peer that answers nothing does not hold up the configuration
    Given peers "silent" hold version 2 and never answer
    And peer "other" in zone "b" holds version 2 and sends it in 10 ms
    When the peers advertise their configurations
    And 550 ms pass for the configuration
    Then the daemon holds version 2 of the configuration
    And the peers were asked in the order "silent,other"

  # Guards against a daemon that waits for a busy peer while others hold the
  # configuration already.
  Scenario: A busy peer refers to a daemon that it has served
    Given peer "busy" holds version 2, is busy for 1000 ms and refers to "served"
    And peer "served" was sent version 2 and sends it in 10 ms
    When the peers advertise their configurations
    And 20 ms pass for the configuration
    Then the daemon holds version 2 of the configuration
    And the peers were asked in the order "busy,served"

  Scenario: A busy peer is asked again after the time that it names
    Given peer "busy" holds version 2, is busy for 100 ms and refers to ""
    When the peers advertise their configurations
    And 99 ms pass for the configuration
    Then the peers were asked 1 time for their configurations
    When 102 ms pass for the configuration
    Then the daemon holds version 2 of the configuration
    And the store was read 0 times for the configuration

  # Guards against daemons that all ask every holder again and again while these
  # are busy.
  Scenario: A daemon waits for the turn that a busy peer gives it
    Given peer "busy" holds version 2 and gives a turn at "next" after 200 ms
    And peer "next" was sent version 2 and sends it in 10 ms
    And peer "other" in zone "b" holds version 2 and sends it in 10 ms
    When the peers advertise their configurations
    And 199 ms pass for the configuration
    Then the peers were asked in the order "busy"
    When 12 ms pass for the configuration
    Then the daemon holds version 2 of the configuration
    And the peers were asked in the order "busy,next"

  Scenario: Another peer is asked if the one whose turn it is does not answer
    Given peer "busy" holds version 2 and gives a turn at "stopped" after 200 ms
    And peer "other" in zone "b" holds version 2 and sends it in 10 ms
    When the peers advertise their configurations
    And 715 ms pass for the configuration
    Then the daemon holds version 2 of the configuration
    And the peers were asked in the order "busy,stopped,other"

  Scenario: The store is read after two peers failed
    Given peers "one,two,three" hold version 2 and never answer
    And the store holds version 2
    When the peers advertise their configurations
    And 1001 ms pass for the configuration
    Then the daemon holds version 2 of the configuration
    And the peers were asked 2 times for their configurations
    And the store was read 1 time for the configuration

  Scenario: A daemon waits for a reply of the store that is arriving
    Given the daemon follows the store, whose reply is arriving
    And peers "holder" hold version 2 and send it in 10 ms
    When the peers advertise their configurations
    And 1000 ms pass for the configuration
    Then the peers were asked 0 times for their configurations
    When the reply of the store ends without a newer version
    And 50 ms pass for the configuration
    Then the daemon holds version 2 of the configuration

  # In a rolling upgrade, peers of earlier releases reject calls of methods that
  # they do not know.
  Scenario: A peer of an earlier release is asked for its whole state after the store
    Given peer "earlier" of an earlier release holds version 2
    When the peers advertise their configurations
    And 10 ms pass for the configuration
    Then the daemon holds version 2 of the configuration
    And the peers were asked 0 times for their configurations
    And the store was read 1 time for the configuration

  Scenario: Nothing is asked any more once the peer that advertised has stopped
    Given peers "stopped" hold version 2 and never answer
    When the peers advertise their configurations
    And 600 ms pass for the configuration
    And the peers are no longer running
    And 10000 ms pass for the configuration
    Then the peers were asked 1 time for their configurations
    And the store was read 1 time for the configuration

  # Rounds follow each other at most 2 s apart, and not at once.
  Scenario: Failed rounds are repeated with growing pauses
    Given peers "silent" hold version 2 and never answer
    When the peers advertise their configurations
    And 20000 ms pass for the configuration
    Then the store was read 8 to 20 times for the configuration

  Scenario Outline: A document that <fault> is not applied, and another peer is asked
    Given peer "faulty" holds version 2 and sends a document that <fault>
    And peer "sound" in zone "b" holds version 2 and sends it in 10 ms
    When the peers advertise their configurations
    And 50 ms pass for the configuration
    Then the daemon holds version 2 of the configuration
    And the peers were asked in the order "faulty,sound"

    Examples:
      | fault                 |
      | is not compressed     |
      | is cut                |
      | holds another version |
      | has no routes         |
      | inflates to 64 MB     |
