package io.hawthornlb.core.chart;

import io.hawthornlb.core.model.Finding;
import java.util.List;
import java.util.stream.Collectors;

/** Thrown at start when a chart file has faults; the program was built wrong. */
public class InvalidChartException extends IllegalStateException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with all findings, one a line. */
  public InvalidChartException(List<Finding> findings) {
    super(findings.stream().map(Finding::text).collect(Collectors.joining("\n")));
  }
}
