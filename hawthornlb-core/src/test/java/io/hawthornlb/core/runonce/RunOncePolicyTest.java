package io.hawthornlb.core.runonce;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.catalogue.Repeatability;
import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.catalogue.ServiceKind;
import io.hawthornlb.core.model.HeaderField;
import io.hawthornlb.core.model.ServiceName;
import java.util.List;
import org.junit.jupiter.api.Test;

class RunOncePolicyTest {

  private static final ServiceName SERVICE = new ServiceName("checkin-app");

  @Test
  void repeatabilityAndKeyDetermineThePolicy() {
    assertTrue(applies(Repeatability.NEVER, "GET", false));
    assertTrue(applies(Repeatability.SAFE_METHODS, "POST", false));
    assertFalse(applies(Repeatability.SAFE_METHODS, "get", false));
    assertFalse(applies(Repeatability.IDEMPOTENT, "POST", false));
    assertTrue(applies(Repeatability.IDEMPOTENT, "POST", true));
  }

  // Guards against equal fingerprints of two calls whose parts give the same text when
  // concatenated: the second call would count as a resend of the first and never run.
  @Test
  void fingerprintSeparatesThePartsOfACall() {
    ServiceCall one = new ServiceCall("POST", "/ab", List.of(), "c");
    ServiceCall other = new ServiceCall("POST", "/a", List.of(), "bc");
    ServiceCall withHeader =
        new ServiceCall("POST", "/ab", List.of(new HeaderField("date", "now")), "c");

    assertNotEquals(
        RunOncePolicy.fingerprint(SERVICE, one), RunOncePolicy.fingerprint(SERVICE, other));
    assertEquals(
        RunOncePolicy.fingerprint(SERVICE, one), RunOncePolicy.fingerprint(SERVICE, withHeader));
  }

  private static boolean applies(Repeatability repeatability, String method, boolean withKey) {
    ServiceEntry service =
        ServiceEntry.builder(SERVICE, "al-harthy", ServiceKind.PLAIN)
            .repeatability(repeatability)
            .build();
    return RunOncePolicy.appliesTo(service, method, withKey);
  }
}
