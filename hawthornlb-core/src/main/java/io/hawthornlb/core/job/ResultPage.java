package io.hawthornlb.core.job;

import java.util.List;
import java.util.Optional;

/**
 * One page of the results of a job, in the order in which they were stored.
 *
 * @param spans the positions of the results in the log
 * @param next the cursor of the next page, or empty if no further result is stored yet
 */
public record ResultPage(List<ResultSpan> spans, Optional<Integer> next) {

  /** Copies the spans. */
  public ResultPage {
    spans = List.copyOf(spans);
  }
}
