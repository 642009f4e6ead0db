Feature: Ids that others choose are kept in a bounded length

  # Guards against tables with a bounded number of entries, whose keys are as long
  # as clients like.
  Scenario Outline: An id of <length> characters is kept in <kept>
    When bounded ids are made of an id of <length> characters
    Then they are equal and have <kept> characters
    And that of another id of <length> characters is different

    Examples:
      | length | kept |
      | 1      | 1    |
      | 13     | 13   |
      | 64     | 64   |
      | 65     | 50   |
      | 15000  | 50   |
