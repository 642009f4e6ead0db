Feature: Answers of the questionnaire
  Complete answers of both deployments generate a configuration, the same each
  time, and wrong ones are refused with every problem named.

  Scenario Outline: The answers of <deployment> are complete
    Given the questionnaire's fixture of <deployment>
    Then its answers are right and generate the same bytes each time
    And it has 13 engines, 4 workers, 4 zones, 10 customers and "<preference>" first
    And it has work of every priority class

    Examples:
      | deployment      | preference |
      | velo_compartido | reuse      |
      | registry        | evenness   |

  Scenario Outline: Wrong answers are refused with each problem's place
    Given the questionnaire's fixture of registry
    When its answers have <wrong>
    Then its answers are refused at "<path>"

    Examples:
      | wrong                              | path                             |
      | a wait of no time                  | engines[0].longestWaitSeconds    |
      | a service name used twice          | services: expected each name once |
      | a customer used twice              | customers: expected each name once |
      | a customer of an unknown service   | customers[0].services            |
      | an engine without servers          | engines[0].servers               |
      | two servers at one address         | plainServices[0].servers         |
      | one engine ordered by two services | engines that get a model version |
      | a question that is not asked       | engines[0].colour                |

  Scenario Outline: Two changes of the same answers: <mine> and <theirs>
    Given the questionnaire's fixture of velo_compartido
    When one operator answers <mine> and another <theirs>
    Then merging their answers gives <result>

    Examples:
      | mine                   | theirs                  | result                                          |
      | limit of a to 7        | limit of b to 8         | both changes                                    |
      | limit of a to 7        | limit of a to 7         | both changes                                    |
      | limit of a to 7        | limit of a to 8         | a conflict at customers/diocesis-del-valle/atMostAtOnce |
      | limit of a to 7        | removal of a            | a conflict at customers/diocesis-del-valle/atMostAtOnce |
      | a new engine x         | a new engine y          | both changes                                    |
      | a new engine x         | removal of engine-3     | both changes                                    |
      | removal of booking     | a new customer of it    | a problem at customers[10].services             |
      | nothing                | removal of a            | both changes                                    |

  Scenario: Answers come back whole from their entries
    Then 100 random sets of answers come back from their entries, seed 11
