package io.hawthornlb.standin.report.support;

import io.hawthornlb.standin.report.ReportWriter;
import io.hawthornlb.standin.report.RunResult;
import io.hawthornlb.standin.support.WireJson;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;

/** Writes the result as {@code result.json}. */
public final class JsonReport implements ReportWriter {

  /** The name of the report file. */
  public static final String FILE = "result.json";

  @Override
  public void write(RunResult result, Path directory) {
    try {
      WireJson.mapper()
          .writerWithDefaultPrettyPrinter()
          .writeValue(directory.resolve(FILE).toFile(), result);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot write " + FILE, e);
    }
  }
}
