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

  Scenario Outline: A conflict asked again: <mine> against <theirs>, chosen <chosen>
    Given one operator gives a <mine>, another gives it <theirs> and b limit 8
    Then choosing <chosen> for a gives it <result> and keeps b's limit 8

    Examples:
      | mine    | theirs  | chosen  | result  |
      | limit 7 | limit 9 | limit 5 | limit 5 |
      | limit 7 | limit 9 | limit 9 | limit 9 |
      | limit 7 | removal | limit 7 | limit 7 |
      | limit 7 | removal | removal | removal |
      | removal | limit 9 | limit 9 | limit 9 |
      | removal | limit 9 | removal | removal |

  Scenario Outline: What a change does is told in the questionnaire's terms: <change>
    Given the questionnaire's fixture of registry
    When its answers are changed by <change>
    Then the effects told are <effects>

    Examples:
      | change | effects |
      | engines/model-desk/servers/engine-14=10.20.2.13:8000 tt-north-b | model-desk: 13 -> 14 servers; about 7.1 % of new work goes to engine-14; each of the 13 others carries about 7.1 % less. + model-desk: returning chats stay on their warm engines; about 7.1 % of those without a ticket move. |
      | removal of engines/model-desk/servers/engine-3 | model-desk: 13 -> 12 servers; no new work goes to engine-3, what runs there now finishes; each of the 12 others carries about 8.3 % more. + model-desk: about 7.7 % of returning chats, those of engine-3, move and are read once more. |
      | engines/model-desk/mattersMore=reuse | Chats of model service model-desk stay on warm engines until one is at 1.5 times the mean load; fewer move. |
      | engines/model-desk/whoWaits=background | Requests of model service model-desk go last under load. |
      | customers/arima-cabinets/atMostAtOnce=20 | Requests of customer arima-cabinets above 20 at once are refused. |
      | customers/arima-cabinets/services=catalogue | Requests of customer arima-cabinets for model-desk, model-desk-finishes, model-desk-labels are refused. |
      | removal of customers/arima-cabinets | Every request of customer arima-cabinets is refused. |
      | plainServices/catalogue/mayNotBeRepeated= | Calls of plain service catalogue below /reservations may run more than once. |
      | plainServices/catalogue/longestWaitSeconds=7 | Requests of plain service catalogue are ended after 7 s, not 10 s. |

  Scenario: Answers come back whole from their entries
    Then 100 random sets of answers come back from their entries, seed 11
