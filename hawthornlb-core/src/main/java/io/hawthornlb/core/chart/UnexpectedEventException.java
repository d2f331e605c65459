package io.hawthornlb.core.chart;

/** Thrown when an event occurs in a state whose chart neither handles nor ignores it. */
public class UnexpectedEventException extends IllegalStateException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception for an event in a state of a chart. */
  public UnexpectedEventException(String chart, Enum<?> state, Enum<?> event) {
    super(
        "chart %s does not expect event %s in state %s; handle or ignore it in the chart file"
            .formatted(chart, event, state));
  }
}
