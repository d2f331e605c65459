package io.hawthornlb.core.chart.support;

import io.hawthornlb.core.chart.ChartTypes;
import io.hawthornlb.core.chart.StateChart;
import io.hawthornlb.core.chart.StateChartReader;
import io.hawthornlb.core.config.support.YamlConfigReader;
import io.hawthornlb.core.model.Finding;
import io.vavr.control.Validation;
import java.util.List;

/**
 * Reads charts from YAML files such as the following:
 *
 * <pre>
 * chart: door
 * initial: closed
 * states:
 *   closed:
 *     on:
 *       open: {to: opened, do: [ring]}
 *     ignore: [close]
 *   opened: {final: true}
 * </pre>
 *
 * <p>A chart with {@code endless: true} has no final state. Use it for an object that exists as
 * long as the system.
 */
public final class YamlStateChartReader implements StateChartReader {

  private final YamlConfigReader reader = new YamlConfigReader();

  @Override
  public <S extends Enum<S>, E extends Enum<E>, A extends Enum<A>>
      Validation<List<Finding>, StateChart<S, E, A>> read(
          String source, String content, ChartTypes<S, E, A> types) {
    return reader.read(source, content, new StateChartBinding<>(types));
  }
}
