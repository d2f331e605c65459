package io.hawthornlb.gateway.job;

import com.dynatrace.hash4j.hashing.Hashing;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.gateway.decode.UnreadableException;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Derives the id under which a job is stored from the id that its caller chose and the caller's
 * workspace.
 *
 * <p>Callers choose the ids of their jobs. Two workspaces that choose the same id have two jobs,
 * and neither can read, end or overwrite the other's or learn that it exists.
 */
final class JobScope {

  /** Number of characters that a scope adds to an id. */
  static final int LENGTH = 17;

  private static final char SEPARATOR = '|';

  private static final Pattern SCOPED = Pattern.compile(".*\\|[0-9a-f]{16}");

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
    return callerId + SEPARATOR + "%016x".formatted(hash);
  }

  /** Returns the id that the caller of a job chose. */
  static String callerId(String storedId) {
    return isScoped(storedId) ? storedId.substring(0, storedId.length() - LENGTH) : storedId;
  }

  private static boolean isScoped(String id) {
    return id.length() > LENGTH
        && id.charAt(id.length() - LENGTH) == SEPARATOR
        && SCOPED.matcher(id).matches();
  }
}
