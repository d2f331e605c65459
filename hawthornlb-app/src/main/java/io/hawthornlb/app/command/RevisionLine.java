package io.hawthornlb.app.command;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The comment line that holds the revision of a printed catalogue.
 *
 * <p>An edited copy of the text keeps the line. The put command sends the revision along, so that
 * the entry instance can reject the edit if the catalogue has changed since then.
 */
final class RevisionLine {

  private static final Pattern PATTERN =
      Pattern.compile("^# revision: (-?\\d{1,18})\\s*$", Pattern.MULTILINE);

  private RevisionLine() {}

  static String of(long revision) {
    return "# revision: " + revision;
  }

  static Optional<Long> find(String yaml) {
    Matcher matcher = PATTERN.matcher(yaml);
    return matcher.find() ? Optional.of(Long.parseLong(matcher.group(1))) : Optional.empty();
  }
}
