# Codes are the numbers in knapweedhinge.core.codes.ResultCode.
Feature: Every planned stop is a graceful shutdown

  Scenario: A node that leaves
    When a node is asked to stop
    Then it says that it takes no new work, code 2004
    And it still answers callers that were told its address
    And it exits with status 0

  Scenario: A caller is held up between looking at an address and connecting to it
    When a node is asked to stop
    Then it says that it takes no new work, code 2004
    And a caller that connects 100 ms after its address has expired is answered
    And it exits with status 0

  Scenario: One node is stopped under load
    Given every engine takes 20 ms for a token
    When 1 node(s) stop while callers use the addresses they are told
    Then every stopped node exits with status 0
    And no call failed
    And every call that may not be repeated ran once

  Scenario: Two nodes are stopped at once under load
    Given every engine takes 20 ms for a token
    When 2 node(s) stop while callers use the addresses they are told
    Then every stopped node exits with status 0
    And no call failed
    And every call that may not be repeated ran once

  Scenario: All nodes are replaced one by one under load
    Given every engine takes 20 ms for a token
    When all nodes are replaced in turn while callers use the addresses they are told
    Then every stopped node exits with status 0
    And no call failed
    And every call that may not be repeated ran once
