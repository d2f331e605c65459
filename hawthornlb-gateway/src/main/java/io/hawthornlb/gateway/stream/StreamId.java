package io.hawthornlb.gateway.stream;

import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import io.hawthornlb.core.model.WorkspaceId;
import org.jspecify.annotations.Nullable;

/**
 * Identifies a stream over all attempts of its caller: a hash of the caller's workspace and of the
 * id of the attempt that brought the first event. An id that another workspace uses as well
 * identifies another stream.
 */
public record StreamId(long high, long low) {

  /**
   * Returns the id of a stream.
   *
   * @param workspace workspace of the caller; null if the caller is anonymous
   * @param attemptId id of the attempt that brought the first event
   */
  public static StreamId of(@Nullable WorkspaceId workspace, String attemptId) {
    HashValue128 hash =
        Hashing.murmur3_128()
            .hashStream()
            .putBoolean(workspace != null)
            .putString(workspace == null ? "" : workspace.value())
            .putString(attemptId)
            .get();
    return new StreamId(hash.getMostSignificantBits(), hash.getLeastSignificantBits());
  }

  // Written by hand, because the JVM links the generated methods at run time, which takes some
  // milliseconds.
  @Override
  public boolean equals(Object other) {
    return other instanceof StreamId id && high == id.high && low == id.low;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(low);
  }
}
