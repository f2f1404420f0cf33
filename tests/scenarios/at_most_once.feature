# Codes are the numbers in knapweedhinge.core.codes.ResultCode.
Feature: A request that may not be repeated runs at most once

  Scenario: The same key is sent to all nodes at once
    When a caller sends the same call to every node at once
    Then each reply is the same answer or says that the call is running
    And the call ran once

  Scenario: The answer to the claim is lost after the write took effect
    Given the platform loses the answers to its next 2 writes
    When a caller sends a call
    Then the reply is the whole answer
    And the call ran once

  Scenario: The platform is down
    Given the platform is down
    When a caller sends a call
    Then the reply is code 2009 with run state "not-run"
    And the call never ran
    When the platform is up again
    And the caller sends the call again until it is answered
    Then the call ran once

  Scenario: The service cuts the connection before its answer
    Given every service replica cuts the connection before its answer
    When a caller sends a call
    Then the reply is code 3001 with run state "unknown"
    When the caller sends the same call to every node
    Then every reply is code 3001 with run state "unknown"
    And the call ran once

  Scenario: The service refuses the call with an answer of its own
    Given every service replica refuses its calls
    When a caller sends a call
    Then the reply has status 503
    When every service replica takes calls again
    And the caller sends the same call to every node
    Then each reply is the same answer or says that the call is running
    And the call never ran

  Scenario: A node is killed while its call runs
    Given every service replica takes 500 ms
    When a caller sends a call to a node that is killed while the call runs
    And the caller sends the same call to the other nodes
    Then no reply is a new answer
    And the call ran once

  Scenario: A node is frozen while its claim is written and woken later
    Given the platform takes 800 ms
    When a node is frozen while it writes its claim
    And the platform answers at once again
    And the caller sends the same call to another node and is told that it is running
    And the node is woken after 4 s
    And the caller sends the call again until it is answered
    Then the call ran once

  Scenario: A node is frozen while its call runs and woken later
    Given every service replica takes 500 ms
    When a node is frozen while its call runs
    And the caller sends the same call to another node and is told that it is running
    And the node is woken after 1 s
    And the caller sends the call again until it is answered
    Then the call ran once

  Scenario: A key is used again with another body
    When a caller sends a call
    And the caller sends another body under the same key
    Then the reply is code 1011 with run state "not-run"
    And the call ran once

  Scenario: A call has no key
    When a caller sends a call without a key
    Then the reply is code 1010 with run state "not-run"
    And no endpoint ran anything
