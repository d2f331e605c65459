package io.hawthornlb.standin.report;

import java.util.List;

/**
 * What callers were told of keyed calls against how often the services ran them.
 *
 * @param compared whether the counts of all services could be read
 * @param acknowledged calls that were answered
 * @param lost keys of calls that were answered and ran nowhere
 * @param doubled keys of calls that ran more than once
 * @param untrue keys of calls that ran although all that was said of them is that they did not
 */
public record CallComparison(
    boolean compared,
    int acknowledged,
    List<String> lost,
    List<String> doubled,
    List<String> untrue) {

  /** Returns the comparison when there is nothing to compare. */
  public static CallComparison none() {
    return new CallComparison(true, 0, List.of(), List.of(), List.of());
  }
}
