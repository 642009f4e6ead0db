Feature: A listener says whether it would refuse a new connection

  # Guards against a daemon that calls itself ready and takes no new connection.
  Scenario: A listener is full while all of its connections have requests in progress
    Given a listener for 8 connections that answers nothing
    When 8 clients send a request to the listener
    Then the listener becomes full
    When one of the clients leaves
    Then the listener is no longer full

  # An unfinished request has not run, so that its client may be told so.
  Scenario: A client whose unfinished request gives way to a new connection gets 503
    Given a listener for 8 connections that answers nothing
    When 8 clients send a part of a request to the listener
    Then the listener is no longer full
    When 1 client sends a request to the listener
    Then one client got a 503 with a time to come back, and its connection was closed
