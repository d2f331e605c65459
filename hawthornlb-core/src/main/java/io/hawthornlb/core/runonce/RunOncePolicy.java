package io.hawthornlb.core.runonce;

import io.hawthornlb.core.catalogue.Repeatability;
import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.util.ContentDigest;
import java.util.Locale;
import java.util.Set;

/** Says which calls run at most once, and when two calls under a key are the same. */
public final class RunOncePolicy {

  private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS", "TRACE");

  private RunOncePolicy() {}

  /**
   * Returns whether a call may run at most once.
   *
   * @param service the service
   * @param method the HTTP method
   * @param withKey whether the caller gave an idempotency key
   */
  public static boolean appliesTo(ServiceEntry service, String method, boolean withKey) {
    if (withKey || service.repeatability() == Repeatability.NEVER) {
      return true;
    }
    boolean safe = SAFE_METHODS.contains(method.toUpperCase(Locale.ROOT));
    return service.repeatability() == Repeatability.SAFE_METHODS && !safe;
  }

  /** Returns the fingerprint of a call; header fields do not count. */
  public static String fingerprint(ServiceName service, ServiceCall call) {
    return new ContentDigest()
        .add(service.value())
        .add(call.method())
        .add(call.path())
        .add(call.body())
        .hex();
  }
}
