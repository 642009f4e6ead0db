Feature: Operators that race each other
  No change is lost, none is applied twice and nothing is half in force.

  Scenario Outline: <operators> operators change <what> with <faults>
    Given a configuration store with <faults>, seeds 1 to <seeds>
    When <operators> operators each accept a change of <what>
    Then every change told accepted stands, once, and every revision is whole

    Examples:
      | operators | what              | faults           | seeds |
      | 2         | different answers | no faults        | 40    |
      | 10        | different answers | no faults        | 10    |
      | 2         | different answers | lost replies     | 40    |
      | 10        | different answers | lost replies     | 10    |
      | 2         | different answers | late writes      | 40    |
      | 10        | different answers | every fault      | 10    |
      | 2         | the same answer   | no faults        | 40    |
      | 10        | the same answer   | every fault      | 10    |
      | 10        | different answers | an outage        | 10    |

  Scenario Outline: An operator's client is killed <when> each of its calls
    Given a configuration store with no faults, seeds 1 to 1
    When the client is killed <when> each call in turn and the command is run again
    Then the change stands exactly once each time

    Examples:
      | when   |
      | before |
      | after  |

  Scenario Outline: A write that lands late is told accepted, whenever it lands<what>
    When a change's transaction lands late before each later call in turn<what>
    Then it is told accepted and stands exactly once each time

    Examples:
      | what                                                      |
      |                                                           |
      | , and another operator changes the same answer after it |

  Scenario: The order of a race depends on its seeds only
    Given a configuration store with every fault, seeds 1 to 5
    When 10 operators each accept a change of different answers
    Then racing again with the same seeds gives the same calls

  Scenario: A conflict shows both answers, by whom and when
    Given a configuration store with no faults, seeds 1 to 1
    When ana answers a limit 7 and then luis, from the same base, 8
    Then luis sees a conflict with ana's 7 of revision 2 and his own 8

  Scenario: Going back is a new revision with the old answers
    Given a configuration store with no faults, seeds 1 to 1
    When ana answers a limit 7 and goes back to revision 1
    Then revision 3 has the digest of revision 1

  Scenario: Random operators, changes and faults
    Then 60 random races over the configuration store keep every change told accepted, seed 7
