Feature: A stream is given up for a stalled server only

  Scenario: A daemon that was paused for longer than the stall timeout reads what arrived meanwhile
    # Guards against streams that are cut, and resumed at another engine, because
    # this process was paused or short of processor time.
    Given a relayed stream with a stall timeout of 800 ms
    When an event arrives
    And the process is paused for 2000 ms, in which an event arrives
    Then 100 ms later the stream is still relayed

  Scenario: A stream without events is given up after the stall timeout
    Given a relayed stream with a stall timeout of 400 ms
    When an event arrives
    And comments arrive every 50 ms for 800 ms
    Then the stream was given up as silent

  Scenario: A stream with an event now and then is not given up
    Given a relayed stream with a stall timeout of 400 ms
    When an event arrives
    And events arrive every 250 ms for 1200 ms
    Then 10 ms later the stream is still relayed
