Feature: A caller receives the whole answer to its own request

  Scenario: An engine hangs in the middle of a stream
    Given every engine falls silent once, after 5 events
    When a caller streams an answer
    Then the caller has every token once and the end of the stream
    And one engine call is in the call logs

  Scenario: An engine cuts the connection in the middle of a stream
    Given every engine cuts one connection, after 5 events
    When a caller streams an answer
    Then the caller has every token once and the end of the stream
    And one engine call is in the call logs

  Scenario: An engine is killed in the middle of a stream
    Given every engine falls silent once, after 5 events
    When a caller streams an answer and its engine is killed after 5 events
    Then the caller has every token once and the end of the stream
    And two engine calls of the same version are in the call logs

  Scenario: An engine answers with another request's stream
    Given every engine sends one answer under the id of another request
    When a caller streams an answer
    Then the caller has every token once and the end of the stream
    And no event names another request

  Scenario: An engine answers with another request's whole answer
    Given one engine sends its answers under the id of another request
    When callers ask for whole answers
    Then each caller has every token once

  Scenario: An engine's whole answer is truncated
    Given one engine truncates its answers
    When callers ask for whole answers
    Then each caller has every token once

  Scenario: A lookup's answer is truncated at one replica
    Given one service replica truncates its answers
    When callers send lookups to every node
    Then every lookup is answered whole

  Scenario: A lookup's answer names another request
    Given one service replica answers under the id of another request
    When callers send lookups to every node
    Then every lookup is answered whole

  Scenario: A lookup comes back empty at one replica
    Given one service replica answers empty
    When callers send lookups to every node
    Then every lookup is answered whole, or empty if its route allows that

  Scenario: The answer of a call that runs once is truncated
    Given every service replica truncates its answers
    When a caller makes a call that runs at most once
    Then the caller is told that the outcome is unknown
    And the call is once in the call logs

  Scenario: The answer of a call that runs once is empty
    Given every service replica answers empty
    When a caller makes a call that runs at most once
    Then the caller is told that the outcome is unknown
    And the call is once in the call logs

  Scenario: A node is killed while it streams and the caller resumes at another
    Given every engine takes 50 ms for a token
    When a caller streams an answer and its node is killed after 4 events
    And the caller resumes at another node with its last event id
    Then the caller has every token once and the end of the stream
    And one engine call is in the call logs
    And the event ids count up without a gap
