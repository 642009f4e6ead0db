Feature: The operators' client against a fleet of processes
  Each command is run as an operator runs it, and ends with the code that the
  page on the first start documents.

  Scenario: Dump, explain and drain
    Given a fleet that operators look at, with 2 daemons
    When a chat of 3 turns, a lookup and a reservation are sent
    Then explain says where the chat went and why, and where it would go now
    And explain names the answer that a value comes from
    And dump shows a daemon's revision and nobody's key
    And drain with --wait ends when the daemon has ended with code 0

  Scenario: Exit codes
    Given a fleet that operators look at, with 2 daemons
    Then the client's commands end as the table says
      | command                                        | code | says                     |
      | status                                         | 0    | every promise holds      |
      | history                                        | 0    | 1                        |
      | plan --answers same.json                       | 0    | Nothing changes          |
      | accept --answers same.json                     | 0    | Nothing to accept        |
      | status --nonsense                              | 2    | no option --nonsense     |
      | nonsense                                       | 2    | nonsense                 |
      | accept --answers missing.json                  | 2    | cannot be read           |
      | accept --answers wrong.json                    | 2    | expected                 |
      | dump --daemon nobody                           | 2    | there is no daemon       |
      | rollback --to 9                                | 2    | there is no revision 9   |
      | explain --value services/none/deadlineMs       | 2    | there is no value        |
      | explain --customer nobody --chat x             | 2    | refuses                  |
    When the platform is down for operators
    Then the client's commands end as the table says
      | command                                        | code | says                     |
      | history                                        | 1    | unreachable              |
      | accept --answers same.json                     | 1    | unreachable              |

  Scenario: A conflict is asked again and the others' changes are kept
    Given a fleet that operators look at, with 2 daemons
    When ana changes the first customer's limit to 50 and the second one's to 60
    Then accepting a limit of 80 for the first one, from the same base, is a conflict
    And answering "nonsense" and then "70" when asked again accepts 70 and keeps 60
    When entry-2 is frozen for operators
    Then accepting a limit of 90 with --wait ends with code 4 and names entry-2

  Scenario: Help of every command
    Then the help of each command says what it does, each option and its exit codes
    And the page on the first start documents every exit code
    And output is coloured as the table says
      | terminal | NO_COLOR | coloured |
      | yes      |          | yes      |
      | yes      | 1        | no       |
      | yes      | yes      | no       |
      | no       |          | no       |

  Scenario: Progress beside work of more than a second
    Then the progress line is shown as the table says
      | work | output     | seconds |
      | 900  | a terminal |         |
      | 1100 | a terminal | 1       |
      | 3500 | a terminal | 1 2 3   |
      | 3500 | a pipe     |         |
