package io.hawthornlb.standin.report.support;

import io.hawthornlb.standin.report.NamedPercentiles;
import io.hawthornlb.standin.report.Percentiles;
import io.hawthornlb.standin.report.RunResult;
import io.hawthornlb.standin.report.Series;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Draws the pictures of a report. */
final class Plots {

  private static final Logger LOG = System.getLogger(Plots.class.getName());
  private static final int WIDTH = 900;
  private static final int HEIGHT = 420;
  private static final double LEAST_MILLIS = 0.01;
  private static final List<String> RANKS = List.of("p50", "p95", "p99", "p99.9", "max");

  private Plots() {}

  /** A picture with its file name. */
  record Plot(String file, byte[] png) {}

  /** Draws all pictures for which there are measurements; none where the machine has no fonts. */
  static List<Plot> of(RunResult result) {
    System.setProperty("java.awt.headless", "true");
    try {
      return draw(result);
    } catch (InternalError | LinkageError e) {
      // A Java without fonts fails so; the numbers of the run must not be lost over its pictures.
      LOG.log(Level.WARNING, "report: no plots, as this machine has no fonts: {0}", e);
      return List.of();
    }
  }

  private static List<Plot> draw(RunResult result) {
    List<Plot> plots = new ArrayList<>();
    if (result.classes().stream().anyMatch(group -> group.total().count() > 0)) {
      plots.add(new Plot("latency.png", png(latency(result))));
    }
    if (!result.timeline().isEmpty()) {
      plots.add(new Plot("throughput.png", png(throughput(result))));
    }
    return plots;
  }

  private static CategoryChart latency(RunResult result) {
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(result.name() + ": time to the whole answer")
            .xAxisTitle("percentile")
            .yAxisTitle("ms")
            .build();
    chart.getStyler().setYAxisLogarithmic(true);
    // Without a lower end the axis of a bar chart begins at 0, which a logarithmic one cannot.
    chart.getStyler().setYAxisMin(lowerEnd(result));
    addGroups(chart, result.classes(), "");
    RunResult alone = result.withoutJobs();
    if (alone != null) {
      addGroups(chart, alone.classes(), " without jobs");
    }
    return chart;
  }

  private static double lowerEnd(RunResult result) {
    double least =
        result.classes().stream()
            .filter(group -> group.total().count() > 0)
            .mapToDouble(group -> group.total().p50())
            .min()
            .orElse(1);
    return Math.pow(10, Math.floor(Math.log10(Math.max(LEAST_MILLIS, least))) - 1);
  }

  private static void addGroups(CategoryChart chart, List<NamedPercentiles> groups, String suffix) {
    for (NamedPercentiles group : groups) {
      if (group.total().count() > 0) {
        chart.addSeries(group.name() + suffix, RANKS, values(group.total()));
      }
    }
  }

  private static List<Double> values(Percentiles p) {
    return Stream.of(p.p50(), p.p95(), p.p99(), p.p999(), p.max())
        .map(value -> Math.max(LEAST_MILLIS, value))
        .toList();
  }

  private static XYChart throughput(RunResult result) {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(result.name() + ": answered in each second")
            .xAxisTitle("s")
            .yAxisTitle("a second")
            .build();
    for (Series series : result.timeline()) {
      double[] seconds = new double[series.perSecond().size()];
      double[] counts = new double[seconds.length];
      for (int second = 0; second < seconds.length; second++) {
        seconds[second] = second;
        counts[second] = series.perSecond().get(second);
      }
      chart.addSeries(series.name(), seconds, counts).setMarker(SeriesMarkers.NONE);
    }
    return chart;
  }

  private static byte[] png(Chart<?, ?> chart) {
    try {
      return BitmapEncoder.getBitmapBytes(chart, BitmapFormat.PNG);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot draw a plot", e);
    }
  }
}
