package io.hawthornlb.core.chart;

/** Thrown when an event comes in a state whose chart neither handles nor ignores it. */
public class UnexpectedEventException extends IllegalStateException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception for an event. */
  public UnexpectedEventException(String chart, Enum<?> state, Enum<?> event) {
    super(
        "chart %s does not expect %s in state %s; handle or ignore it in the file"
            .formatted(chart, event, state));
  }
}
