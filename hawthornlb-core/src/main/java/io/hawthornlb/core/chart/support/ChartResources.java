package io.hawthornlb.core.chart.support;

import io.hawthornlb.core.chart.ChartTypes;
import io.hawthornlb.core.chart.InvalidChartException;
import io.hawthornlb.core.chart.StateChart;
import io.hawthornlb.core.util.Checks;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** Loads the chart files that are part of the program. */
public final class ChartResources {

  private static final YamlStateChartReader READER = new YamlStateChartReader();

  private ChartResources() {}

  /**
   * Loads the chart file {@code name} from the package of a class.
   *
   * @throws InvalidChartException with all findings if the file has faults
   */
  public static <S extends Enum<S>, E extends Enum<E>, A extends Enum<A>> StateChart<S, E, A> load(
      Class<?> anchor, String name, ChartTypes<S, E, A> types) {
    return READER
        .read(name, text(anchor, name), types)
        .toEither()
        .getOrElseThrow(InvalidChartException::new);
  }

  private static String text(Class<?> anchor, String name) {
    try (InputStream stream = anchor.getResourceAsStream(name)) {
      Checks.isTrue(
          stream != null, "no chart file " + name + " in the package of " + anchor.getName());
      return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
