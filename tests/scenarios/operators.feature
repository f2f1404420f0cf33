Feature: An accepted change is in force everywhere within seconds and never reverts

  Scenario: A version is withdrawn under load
    Given callers ask all nodes for a version without a pause
    When an operator withdraws the version at one node
    And callers go on for 6 s
    Then every node held the change 4 s after it was sent
    And no engine ran the version later than 4 s after the change was sent

  Scenario: A failure domain is taken out under load
    Given callers ask all nodes for a version without a pause
    When an operator takes the failure domain of an engine out at one node
    And callers go on for 6 s
    Then every node held the change 4 s after it was sent
    And no endpoint of the domain ran anything later than 4 s after the change was sent
    And the entry VMs of the failure domain are not in the address answers

  Scenario: The answer to the withdrawal's write is lost
    Given the platform takes the next write but loses its answer
    When an operator withdraws the version at one node
    Then the change is accepted once
    And every node held the change 4 s after it was sent
    And every node refuses the version with run state "not-run"

  Scenario: A node is killed after the withdrawal and starts again
    Given a version withdrawn everywhere
    When a node is killed and started again
    Then every node refuses the version with run state "not-run"
    And every node still holds the change

  Scenario: The platform is down for all
    Given a version withdrawn everywhere
    When the platform is down for 5 s
    Then every node answers for another version
    And every node refuses the version with run state "not-run"
    And an operator's change is refused
    And when the platform is back every node still holds the change
    And an operator's change is accepted

  Scenario: A node is paused over the withdrawal
    Given callers asked all nodes for a version
    When a node is paused for 6 s while the version is withdrawn and callers wait for the node
    Then the callers that waited are refused with run state "not-run"
    And no engine ran the version later than 4 s after the change was sent
    And every node still holds the change

  Scenario: Two operators change the same revision at once
    When two operators send a change against one revision, at two nodes
    Then one change is accepted and the other is refused and names the accepted one
    And every node still holds the change
