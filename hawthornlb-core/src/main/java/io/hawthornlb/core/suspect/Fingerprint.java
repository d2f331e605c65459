package io.hawthornlb.core.suspect;

import com.dynatrace.hash4j.hashing.Hashing;
import io.hawthornlb.core.util.Checks;

/**
 * Identifies a request by its content, so that a resend through another entry instance has the same
 * fingerprint.
 *
 * @param value a hash of service and body
 */
public record Fingerprint(long value) {

  /** Returns the fingerprint of a body that is sent to a service. */
  public static Fingerprint of(String service, byte[] body) {
    Checks.hasText(service, "service");
    long hash =
        Hashing.komihash5_0().hashStream().putString(service).putByteArray(body).getAsLong();
    return new Fingerprint(hash);
  }
}
