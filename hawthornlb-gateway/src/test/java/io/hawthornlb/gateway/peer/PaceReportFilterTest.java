package io.hawthornlb.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import org.junit.jupiter.api.Test;

class PaceReportFilterTest {

  private final PaceReportFilter filter = new PaceReportFilter();
  private final Instant now = Instant.parse("2026-01-01T00:00:00Z");

  @Test
  void passesUnusualPacesOnly() {
    assertFalse(filter.passes("a", 80, now));
    assertFalse(filter.passes("a", 120, now));
    assertTrue(filter.passes("a", 79, now));
    assertTrue(filter.passes("b", 121, now));
  }

  /** Guards against a coordinator that avoids an endpoint which has become usual again. */
  @Test
  void passesTheFirstUsualPaceAfterAnUnusualOne() {
    filter.passes("a", 250, now);
    assertFalse(filter.passes("b", 100, now.plusMillis(10)));
    assertTrue(filter.passes("a", 100, now.plusMillis(599)));
    assertFalse(filter.passes("a", 100, now.plusMillis(599)));
  }

  @Test
  void dropsAUsualPaceOnceTheUnusualOneHasExpired() {
    filter.passes("a", 250, now);
    assertFalse(filter.passes("a", 100, now.plusMillis(600)));
  }
}
