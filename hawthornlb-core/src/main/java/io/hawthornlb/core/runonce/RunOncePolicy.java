package io.hawthornlb.core.runonce;

import io.hawthornlb.core.catalogue.Repeatability;
import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.util.ContentDigest;
import java.util.Locale;
import java.util.Set;

/**
 * Determines which calls run at most once, and when two calls with the same key have the same
 * content.
 */
public final class RunOncePolicy {

  private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS", "TRACE");

  private RunOncePolicy() {}

  /**
   * Returns whether a call must run at most once.
   *
   * @param service the catalogue entry of the service
   * @param method the HTTP method
   * @param withKey whether the caller sent an idempotency key
   */
  public static boolean appliesTo(ServiceEntry service, String method, boolean withKey) {
    if (withKey || service.repeatability() == Repeatability.NEVER) {
      return true;
    }
    boolean safe = SAFE_METHODS.contains(method.toUpperCase(Locale.ROOT));
    return service.repeatability() == Repeatability.SAFE_METHODS && !safe;
  }

  /** Returns the fingerprint of a call. Header fields are not part of the fingerprint. */
  public static String fingerprint(ServiceName service, ServiceCall call) {
    return new ContentDigest()
        .add(service.value())
        .add(call.method())
        .add(call.path())
        .add(call.body())
        .hex();
  }
}
