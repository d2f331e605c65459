package io.hawthornlb.core.job;

import java.util.List;
import java.util.Optional;

/**
 * Some of the results of a job, in the order in which they were stored.
 *
 * @param spans where they stand in the log
 * @param next the cursor of the next page, or empty if there is none yet
 */
public record ResultPage(List<ResultSpan> spans, Optional<Integer> next) {

  /** Copies the spans. */
  public ResultPage {
    spans = List.copyOf(spans);
  }
}
