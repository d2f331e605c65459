package io.hawthornlb.gateway.slot.support;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.core.demand.DemandForecast;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class RetryReservationsTest {

  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
  private static final Duration TOLD = Duration.ofMillis(400);

  private final RetryReservations reservations = new RetryReservations();

  /** Guards against callers that are served before others because they resend early. */
  @Test
  void refusesEarlyRetriesWithTheTimeLeftAndKeepsTheReservation() {
    refuse(7, 8);
    assertEquals(TOLD.minusMillis(100), reservations.early(request(7), NOW.plusMillis(100)));
    assertEquals(Duration.ZERO, reservations.early(request(7), NOW.plusMillis(380)));
    assertEquals(Retries.Standing.RESERVED, arrived(7, 380));
    assertEquals(Retries.Standing.NEW, arrived(7, 381));
  }

  /** Guards against reservations that hold slots for callers that never return. */
  @Test
  void expiresHalfASecondAfterTheAnnouncedTime() {
    refuse(7, 8);
    refuse(8, 8);
    assertEquals(Retries.Standing.RESERVED, arrived(7, 899));
    assertEquals(Retries.Standing.NEW, arrived(8, 900));
  }

  /** Guards against more reservations than slots become free, which all would wait in vain. */
  @Test
  void reservesNoMoreSlotsThanAreExpectedToBeFree() {
    for (int i = 1; i <= 5; i++) {
      refuse(i, 8);
    }
    assertEquals(Retries.Standing.RESERVED, arrived(4, 400));
    assertEquals(Retries.Standing.RETURNING, arrived(5, 400));
  }

  /** Guards against memory that grows with each refusal of a long overload. */
  @Test
  void remembersABoundedNumber() {
    for (int i = 1; i <= 6_000; i++) {
      refuse(i, 100_000);
    }
    assertEquals(5_000, reservations.count(NOW));
    assertEquals(0, reservations.count(NOW.plusSeconds(1)));
  }

  /**
   * Guards against a caller that is told a time after the one at which it retries at the latest.
   */
  @Test
  void tellsNoTimeAfterAThirdOfTheRemainingTime() {
    Duration told =
        reservations.refused(
            request(7), Duration.ofSeconds(4), Duration.ofMillis(300), room(8), NOW);
    assertEquals(Duration.ofMillis(900), told);
  }

  private Retries.Standing arrived(long fingerprint, int millis) {
    return reservations.arrived(request(fingerprint), NOW.plusMillis(millis));
  }

  private void refuse(long fingerprint, int slots) {
    reservations.refused(request(fingerprint), TOLD, Duration.ZERO, room(slots), NOW);
  }

  private static ExpectedRoom room(int slots) {
    return new ExpectedRoom(new Unused(), slots);
  }

  private static SlotRequest request(long fingerprint) {
    return SlotRequest.builder(new SlotKey("g", fingerprint), "s")
        .patience(Duration.ofSeconds(3))
        .fingerprint(fingerprint)
        .build();
  }

  /** Forecasts that no slot will be used. */
  private static final class Unused implements DemandForecast {

    @Override
    public void arrived(Duration work, Instant now) {}

    @Override
    public double slotsNeeded(Instant now, Duration ahead) {
      return 0;
    }

    @Override
    public Duration untilRoom(double slots, Instant now) {
      return Duration.ZERO;
    }
  }
}
