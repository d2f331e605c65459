package io.hawthornlb.core.config;

import io.hawthornlb.core.model.Finding;
import io.vavr.control.Validation;
import java.util.List;

/** Reads a document into a value, or into all findings about it in the order of their lines. */
public interface ConfigReader {

  /**
   * Reads a document.
   *
   * @param source the name of the document in findings
   * @param content its text
   * @param binding what to read from it
   */
  <T> Validation<List<Finding>, T> read(String source, String content, ConfigBinding<T> binding);
}
