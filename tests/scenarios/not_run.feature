# Codes are the numbers in knapweedhinge.core.codes.ResultCode.
Feature: A refusal that says "not run" is true

  Scenario Outline: <refusal>
    When a caller sends <refusal>
    Then the reply is code <code> with run state "not-run"
    And no endpoint ran anything
    And the node answers the next request

    Examples:
      | refusal                                  | code |
      | a chat request with a bad key            | 1005 |
      | a chat request without a key             | 1005 |
      | a chat request for an unknown class      | 1006 |
      | a chat request for a version not allowed | 1007 |
      | a chat request with malformed JSON       | 1001 |
      | a chat request with a wrong field        | 1002 |
      | a chat request without messages          | 1002 |
      | a chat request that is too large         | 1003 |
      | a chunked body that is too large         | 1003 |
      | a body that arrives too slowly           | 1012 |
      | a session id that is too long            | 1004 |
      | a session id with control characters     | 1004 |
      | a session token that was altered         | 1013 |
      | an event id that was altered             | 1020 |
      | an idempotency key that is too long      | 1004 |
      | a deadline that is no number             | 1004 |
      | a deadline that has passed               | 2003 |
      | a version that no engine serves          | 2002 |
      | a call to an unknown service             | 1008 |
      | a call to an unknown route               | 1009 |
      | a call that needs a key and has none     | 1010 |
      | a call that runs once, while the platform is down | 2009 |
