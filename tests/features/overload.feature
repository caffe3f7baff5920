Feature: No decision by the system overloads an instance or a region

  The instances are given more slots and connections than the configuration says, so
  that they don't refuse what exceeds it but count it: the configuration has 3 slots
  and 16 connections, and the peaks are the instances' own.

  Background:
    Given a fleet
      | vms | data centres          | slots | connections | upstream flags              |
      | 6   | norte-1 norte-2 sul-1 | 3     | 16          | --slots 60 --connections 90 |

  Scenario Outline: More callers than slots, and <failure>
    Given requests take 50 ms
    When callers send reads without pause through every VM
    And <failure>
    And 4000 ms pass
    Then no instance ever ran more than 3 requests or held more than 16 connections
    And more than half of the slots whose owner lived were used meanwhile

    Examples:
      | failure                                                  |
      | nothing fails                                            |
      | the owner of norte-1-ledger-1 is killed                  |
      | the owner of norte-1-ledger-1 is killed and listed no more |
      | norte-1-vm-1 is frozen for 4000 ms                       |
      | the load reports say 0                                   |

    @known-red
    Examples:
      | failure                            |
      | norte-2 is cut off from everything |

  @known-red
  Scenario: Measurements lie while the owner of instances changes
    Given requests take 400 ms
    When callers send reads without pause through every VM
    And the load reports say 0
    And the owner of norte-1-ledger-1 is killed and listed no more
    And 4000 ms pass
    Then no instance ever ran more than 3 requests or held more than 16 connections

  Scenario: A region fails whole
    Given requests take 50 ms
    When callers send reads without pause through every VM
    And all instances of norte fail
    And 4000 ms pass
    Then no instance ever ran more than 3 requests or held more than 16 connections
    And sul-1 answered reads meanwhile
