Feature: What is committed survives and never reverts
  Three control replicas keep the configuration, the orders and the claims on disk.

  Scenario: A change is in force everywhere within 4 s
    Given a fleet of 3 control replicas, 2 entries and 3 engines
    When 20 changes are made, one after the other
    Then each of them was in force everywhere within 4 s

  Scenario Outline: Changes go on while the <victim> of control is killed again and again
    Given a fleet of 3 control replicas, 2 entries and 1 engines
    When 60 changes are made while the <victim> is killed and started again every 2 s
    Then every acknowledged change is in the configuration of all replicas
    And the revision never fell at any entry

    Examples:
      | victim   |
      | leader   |
      | follower |

  Scenario: A lost disk is repaired, and a second loss right after is survived
    Given a fleet of 3 control replicas, 1 entries and 1 engines
    And 20 changes were made
    When a follower loses its disk and its repair is reported done
    And another replica loses its disk right after
    And its repair is reported done
    Then every acknowledged change is in the configuration of all replicas

  Scenario: A leader resumed after a long freeze reverts nothing
    Given a fleet of 3 control replicas, 2 entries and 1 engines
    When the leader is frozen
    And 20 changes were made
    And the frozen leader thaws and is sent a change for its own revision
    Then that change was refused and changed nothing
    And every acknowledged change is in the configuration of all replicas
    And the revision never fell at any entry

  Scenario: Two operators race for one revision
    Given a fleet of 3 control replicas, 1 entries and 1 engines
    When two operators send different changes for the same revision 10 times
    Then each time one was taken and the other got revision_conflict

  Scenario: A change resent to another replica after restarts gets the same answer
    Given a fleet of 3 control replicas, 1 entries and 1 engines
    When a change is sent and its answer is lost
    And 40 changes were made
    And all control replicas are killed and started again
    And the first change is sent again to each replica
    Then each answer names the revision of the first time

  Scenario: A restart after hundreds of changes takes a bounded time
    Given a fleet of 3 control replicas, 1 entries and 1 engines
    And 400 changes were made
    When all control replicas are killed and started again
    Then every acknowledged change is in the configuration of all replicas
