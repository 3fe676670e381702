Feature: Command line for operators

  Scenario: A folder without problems
    Given a folder of documents
    When the operator runs "check FOLDER"
    Then the exit status is 0
    And the output has "3 documents, no problems"

  Scenario: Every problem of a folder is reported at once
    Given a folder of documents
    And the rate in the service document is -5
    And the organisation document has the field "kees"
    When the operator runs "check FOLDER"
    Then the exit status is 1
    And the errors have "billing.yaml:16: callers[0].rate_per_second"
    And the errors have "shops.yaml:2: kees: unknown field"

  Scenario: A caller without an organisation document
    Given a folder of documents
    And the service document names the caller "strangers"
    When the operator runs "check FOLDER"
    Then the exit status is 1
    And the errors have "caller 'strangers' has no document"

  Scenario: A change described in words
    Given a folder of documents
    And a copy of the folder
    And the rate in the service document is 120
    When the operator runs "diff FOLDER --old COPY"
    Then the exit status is 0
    And the output has "organisation shops: rate 1000 -> 120 a second (from version 1)"

  Scenario: A node that does not answer
    When the operator runs "status --node 127.0.0.1:1"
    Then the exit status is 3
    And the errors have "is this its operations_port?"

  Scenario: A key and its digest
    When the operator runs "key make --output json"
    Then the exit status is 0
    And the printed digest is that of the printed key

  Scenario Outline: The worked examples are valid
    When the operator checks the example "<example>"
    Then the exit status is 0

    Examples:
      | example          |
      | hoelion-works    |
      | kerio-belt-works |
