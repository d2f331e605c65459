package io.hawthornlb.standin.report;

import java.nio.file.Path;

/** Writes a result into a directory. */
public interface ReportWriter {

  /**
   * Writes files for people or programs.
   *
   * @throws java.io.UncheckedIOException if the directory cannot be written to
   */
  void write(RunResult result, Path directory);
}
