Feature: First run on one machine
  One command serves on loopback with nothing set up beforehand, and the published
  client of the usual interface works against it as it is.

  Scenario: The openai client gets whole answers, and a shared prompt is paid for once
    Given the product serves on this machine with one command
    When the openai client asks 2 questions about one long text, streamed
    Then each answer is complete
    And the last answer found nearly the whole prompt cached

  Scenario: The answer that is not streamed is the same
    Given the product serves on this machine with one command
    When the openai client asks 1 question about one long text, at once
    Then each answer is complete
    And the client sees the profile in the list of models

  Scenario: A wrong key is refused with a remedy, and was not run
    Given the product serves on this machine with one command
    When the openai client asks with the key "stolen"
    Then it is refused with status 401, code "invalid_key" and not run

  Scenario: A shutdown lets a running stream come to its end
    Given the product serves on this machine with one command
    When the product is asked to stop while a stream runs
    Then each answer is complete
    And the product ended with code 0 and left nothing behind
