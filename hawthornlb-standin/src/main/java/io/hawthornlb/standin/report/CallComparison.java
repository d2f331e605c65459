package io.hawthornlb.standin.report;

import java.util.List;

/**
 * Compares the answers to calls with idempotency keys with the number of times that the services
 * ran these calls.
 *
 * @param compared whether the run counts of all services could be read
 * @param acknowledged the number of calls that were answered
 * @param lost the keys of calls that were answered but ran at no service
 * @param doubled the keys of calls that ran more than once
 * @param untrue the keys of calls that ran although every outcome reported to the caller said that
 *     the call did not run
 */
public record CallComparison(
    boolean compared,
    int acknowledged,
    List<String> lost,
    List<String> doubled,
    List<String> untrue) {

  /** Returns the comparison for a run without services to compare with. */
  public static CallComparison none() {
    return new CallComparison(true, 0, List.of(), List.of(), List.of());
  }
}
