# Codes are the numbers in knapweedhinge.core.codes.ResultCode.
Feature: What members and operators decide holds everywhere within seconds

  Scenario: A failure domain is taken out under load and brought back
    When a failure domain is taken out while callers use all nodes
    Then no endpoint of the domain gets new work later than 4 s after the acceptance
    And no call failed
    When the failure domain is brought back
    Then its endpoints get work again

  Scenario: An endpoint leaves by the list of VMs
    When an endpoint is listed as leaving while callers use all nodes
    Then the endpoint gets no new work later than 4 s after the listing
    And no call failed

  Scenario: The platform is down for longer than a configuration may be unconfirmed
    Given an engine is warm
    When the platform is down for 5 s
    Then every node answers chat requests and lookups
    And every node refuses calls that run once with code 2009

  Scenario: An organisation takes its permission for a version back by vote
    When the members vote that an organisation no longer allows a version
    Then every node refuses the version to the organisation with code 1007 within 4 s

  Scenario: A version is withdrawn while a request waits for its engine
    Given the engine of the third version is cold and takes 1500 ms
    When two requests for the third version come to one node
    And the third version is withdrawn at another node
    Then the first request is answered
    And the second request ends with code 2010 and run state "not-run"
    And the third version ran 1 request
    And the session of the first request moves to another version and the reply says so

  Scenario: A version is withdrawn before a failed request is tried again
    Given the engines of the second version fail after 1500 ms
    When a request for the second version comes to one node
    And the second version is withdrawn at another node
    Then the first request ends with code 2010 and run state "unknown"
    And the second version ran 1 request

  Scenario: A version is withdrawn while a node is frozen
    Given a node is frozen
    When the first version is withdrawn at another node
    And the node is woken after 5 s and asked for the first version at once
    Then every reply says that the request was not run
    And the first version ran 0 requests
