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

/** Draws the plots of a report. */
final class Plots {

  private static final Logger LOG = System.getLogger(Plots.class.getName());
  private static final int WIDTH = 900;
  private static final int HEIGHT = 420;
  private static final double MIN_PLOTTED_MILLIS = 0.01;
  private static final List<String> PERCENTILE_LABELS =
      List.of("p50", "p95", "p99", "p99.9", "max");

  private Plots() {}

  /** A plot as a PNG image, with its file name. */
  record Plot(String file, byte[] png) {}

  /**
   * Draws all plots for which there are measurements.
   *
   * @return the plots; none if the machine has no fonts
   */
  static List<Plot> of(RunResult result) {
    System.setProperty("java.awt.headless", "true");
    try {
      return draw(result);
    } catch (InternalError | LinkageError e) {
      // Java throws these errors on a machine without fonts. The measurements of the run must not
      // be
      // lost because the plots can't be drawn.
      LOG.log(Level.WARNING, "report: no plots because this machine has no fonts: {0}", e);
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
    // The axis of a bar chart starts at 0 by default, which a logarithmic axis can't show.
    chart.getStyler().setYAxisMin(axisMinimum(result));
    addGroups(chart, result.classes(), "");
    RunResult baseline = result.withoutJobs();
    if (baseline != null) {
      addGroups(chart, baseline.classes(), " without jobs");
    }
    return chart;
  }

  private static double axisMinimum(RunResult result) {
    double smallest =
        result.classes().stream()
            .filter(group -> group.total().count() > 0)
            .mapToDouble(group -> group.total().p50())
            .min()
            .orElse(1);
    return Math.pow(10, Math.floor(Math.log10(Math.max(MIN_PLOTTED_MILLIS, smallest))) - 1);
  }

  private static void addGroups(CategoryChart chart, List<NamedPercentiles> groups, String suffix) {
    for (NamedPercentiles group : groups) {
      if (group.total().count() > 0) {
        chart.addSeries(group.name() + suffix, PERCENTILE_LABELS, values(group.total()));
      }
    }
  }

  private static List<Double> values(Percentiles p) {
    return Stream.of(p.p50(), p.p95(), p.p99(), p.p999(), p.max())
        .map(value -> Math.max(MIN_PLOTTED_MILLIS, value))
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
