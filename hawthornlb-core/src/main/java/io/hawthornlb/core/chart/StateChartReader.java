package io.hawthornlb.core.chart;

import io.hawthornlb.core.model.Finding;
import io.vavr.control.Validation;
import java.util.List;

/** Reads a chart, or finds all faults of its file with their positions. */
public interface StateChartReader {

  /**
   * Reads a chart from the text of its file.
   *
   * <p>The following are faults: unknown, missing and unreachable states; states from which no
   * final state can be reached; unknown and unused events; unknown actions; an event that is both
   * handled and ignored in a state, or handled twice.
   */
  <S extends Enum<S>, E extends Enum<E>, A extends Enum<A>>
      Validation<List<Finding>, StateChart<S, E, A>> read(
          String source, String content, ChartTypes<S, E, A> types);
}
