package io.hawthornlb.app.command;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The comment by which a shown catalogue remembers the revision that an edit of it rests on. */
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
