package io.hawthornlb.gateway.job;

import com.dynatrace.hash4j.hashing.Hashing;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.gateway.decode.UnreadableException;
import org.jspecify.annotations.Nullable;

/**
 * Derives the id under which a job is stored from the id that its caller chose and the caller's
 * workspace.
 *
 * <p>Callers choose the ids of their jobs. Two workspaces that choose the same id have two jobs,
 * and neither can read, end or overwrite the other's or learn that it exists.
 */
final class JobScope {

  /** Number of hexadecimal digits of a workspace's hash. */
  private static final int DIGITS = 16;

  /** Number of characters that a scope adds to an id. */
  static final int LENGTH = DIGITS + 1;

  private static final char SEPARATOR = '|';

  private JobScope() {}

  /**
   * Returns the id under which a job is stored.
   *
   * @throws UnreadableException if a job without a workspace has the id of a job with one
   */
  static String storedId(String callerId, @Nullable WorkspaceId workspace) {
    if (workspace == null) {
      if (isScoped(callerId)) {
        throw new UnreadableException("id", "reserved for jobs of workspaces");
      }
      return callerId;
    }
    long hash = Hashing.wyhashFinal4().hashCharsToLong(workspace.value());
    String digits = Long.toHexString(hash);
    return callerId + SEPARATOR + "0".repeat(DIGITS - digits.length()) + digits;
  }

  /** Returns the id that the caller of a job chose. */
  static String callerId(String storedId) {
    return isScoped(storedId) ? storedId.substring(0, storedId.length() - LENGTH) : storedId;
  }

  private static boolean isScoped(String id) {
    int start = id.length() - LENGTH;
    return start > 0
        && id.charAt(start) == SEPARATOR
        && id.chars().skip(start + 1L).allMatch(JobScope::isDigit);
  }

  private static boolean isDigit(int character) {
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
  }
}
