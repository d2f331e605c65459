package io.hawthornlb.standin.report.support;

import io.hawthornlb.standin.report.ReportWriter;
import io.hawthornlb.standin.report.RunResult;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes the plots as PNG files. */
public final class PlotReport implements ReportWriter {

  @Override
  public void write(RunResult result, Path directory) {
    try {
      for (Plots.Plot plot : Plots.of(result)) {
        Files.write(directory.resolve(plot.file()), plot.png());
      }
    } catch (IOException e) {
      throw new UncheckedIOException("cannot write the plots", e);
    }
  }
}
