package io.hawthornlb.core.model;

import io.hawthornlb.core.util.Checks;

/**
 * Fault in an input, with its position.
 *
 * @param source the file, header or body that was read
 * @param line the line, counted from 1, or 0 if lines do not apply
 * @param path the path in the document, such as {@code services[2].limits}
 * @param message the fault and the expected value
 */
public record Finding(String source, int line, String path, String message) {

  /** Checks that the message is not blank and that the line is not negative. */
  public Finding {
    Checks.hasText(message, "message");
    Checks.notNegative(line, "line");
  }

  /** Returns the finding as one line: {@code source:line: path: message}. */
  public String text() {
    String place = line > 0 ? source + ":" + line : source;
    return path.isEmpty() ? place + ": " + message : place + ": " + path + ": " + message;
  }
}
