package io.hawthornlb.core.chart;

import io.hawthornlb.core.model.Finding;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown at startup when a chart file has faults. Chart files are part of the program, so the fault
 * is in the build.
 */
public class InvalidChartException extends IllegalStateException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with all findings, one on each line. */
  public InvalidChartException(List<Finding> findings) {
    super(findings.stream().map(Finding::text).collect(Collectors.joining("\n")));
  }
}
