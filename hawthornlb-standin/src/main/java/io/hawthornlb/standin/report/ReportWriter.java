package io.hawthornlb.standin.report;

import java.nio.file.Path;

/** Writes the result of a run to files in a directory. */
public interface ReportWriter {

  /**
   * Writes the files of this report.
   *
   * @throws java.io.UncheckedIOException if the directory cannot be written to
   */
  void write(RunResult result, Path directory);
}
