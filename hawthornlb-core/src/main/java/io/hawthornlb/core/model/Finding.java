package io.hawthornlb.core.model;

import io.hawthornlb.core.util.Checks;

/**
 * One fault found in an input, with its place.
 *
 * @param source the file, header or body that was read
 * @param line the line, counted from 1, or 0 where lines make no sense
 * @param path the path inside the document, such as {@code services[2].limits}
 * @param message what is wrong and what would be right
 */
public record Finding(String source, int line, String path, String message) {

  /** Checks that the message says something. */
  public Finding {
    Checks.hasText(message, "message");
    Checks.notNegative(line, "line");
  }

  /** Returns the finding in one line: {@code source:line: path: message}. */
  public String text() {
    String place = line > 0 ? source + ":" + line : source;
    return path.isEmpty() ? place + ": " + message : place + ": " + path + ": " + message;
  }
}
