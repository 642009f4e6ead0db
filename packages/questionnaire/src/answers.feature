Feature: Answers of the questionnaire
  Valid answers always generate the same configuration. Invalid answers are
  refused with the place of each problem. In the rows of effects, + separates
  sentences.

  Scenario Outline: The answers of <deployment> are valid and always generate the same configuration
    Given the questionnaire's fixture of <deployment>
    Then its answers are valid and generate the same configuration, byte for byte, each time
    And it has 13 engines, 4 plain servers, 4 zones, 10 customers and prefers "<preference>"
    And it has work of every priority class

    Examples:
      | deployment      | preference |
      | velo_compartido | reuse      |
      | registry        | evenness   |

  Scenario Outline: Invalid answers are refused with the place of the problem: <fault>
    Given the questionnaire's fixture of registry
    When its answers have <fault>
    Then its answers are refused with a message that contains "<message part>"

    Examples:
      | fault                              | message part                     |
      | a wait of zero seconds             | engines[0].longestWaitSeconds    |
      | a service name used twice          | services: expected each name once |
      | a customer used twice              | customers: expected each name once |
      | a customer of an unknown service   | customers[0].services            |
      | a model service without servers    | engines[0].servers               |
      | two servers at one address         | plainServices[0].servers         |
      | one engine managed by two services | engines that get a model version |
      | an answer without a question       | engines[0].colour                |

  Scenario Outline: Concurrent changes are merged or reported: <mine> and <theirs>
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
      | removal of booking     | a new customer of booking | a problem at customers[10].services             |
      | nothing                | removal of a            | both changes                                    |

  Scenario Outline: A conflict of <mine> and <theirs> is resolved by choosing <chosen>
    Given one operator changes a to <mine>, another changes a to <theirs> and b to limit 8
    Then choosing <chosen> for a merges to <result> for a and limit 8 for b

    Examples:
      | mine    | theirs  | chosen  | result  |
      | limit 7 | limit 9 | limit 5 | limit 5 |
      | limit 7 | limit 9 | limit 9 | limit 9 |
      | limit 7 | removal | limit 7 | limit 7 |
      | limit 7 | removal | removal | removal |
      | removal | limit 9 | limit 9 | limit 9 |
      | removal | limit 9 | removal | removal |

  Scenario Outline: The effects of a change are described: <change>
    Given the questionnaire's fixture of registry
    When its answers are changed by <change>
    Then the described effects are <effects>

    Examples:
      | change | effects |
      | engines/model-desk/servers/engine-14=10.20.2.13:8000 tt-north-b | model-desk: 13 -> 14 servers; about 7.1 % of new requests go to engine-14; each of the 13 others carries about 7.1 % less. + model-desk: returning chats stay on their warm engines; about 7.1 % of the chats whose requests carry no ticket move. |
      | removal of engines/model-desk/servers/engine-3 | model-desk: 13 -> 12 servers; no new requests go to engine-3, requests running there finish; each of the 12 others carries about 8.3 % more. + model-desk: about 7.7 % of returning chats, those of engine-3, move and their contexts are computed again. |
      | engines/model-desk/mattersMore=reuse | Chats of model service model-desk stay on their warm engine until its load reaches 1.5 times the mean; fewer chats move. |
      | engines/model-desk/whoWaits=background | Requests of model service model-desk go last under load. |
      | customers/arima-cabinets/atMostAtOnce=20 | Requests of customer arima-cabinets above 20 at once are refused. |
      | customers/arima-cabinets/services=catalogue | Requests of customer arima-cabinets for model-desk, model-desk-finishes, model-desk-labels are refused. |
      | removal of customers/arima-cabinets | Every request of customer arima-cabinets is refused. |
      | plainServices/catalogue/mayNotBeRepeated= | Calls of plain service catalogue below /reservations may run more than once. |
      | plainServices/catalogue/longestWaitSeconds=7 | Requests of plain service catalogue are ended after 7 s, not 10 s. |

  Scenario: No customer is lost in the conversion to entries by answer id and back
    Then 100 random documents with customers are equal after conversion to entries by answer id and back, seed 11
