package io.hawthornlb.core.config;

import io.hawthornlb.core.model.Finding;
import io.vavr.control.Validation;
import java.util.List;

/** Reads a document and returns either a value or all findings, in the order of their lines. */
public interface ConfigReader {

  /**
   * Reads a document.
   *
   * @param source the name of the document in findings
   * @param content the text of the document
   * @param binding reads the value from the document
   */
  <T> Validation<List<Finding>, T> read(String source, String content, ConfigBinding<T> binding);
}
