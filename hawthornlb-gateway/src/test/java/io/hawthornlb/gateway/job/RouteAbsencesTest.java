package io.hawthornlb.gateway.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RouteAbsencesTest {

  private static final Instant START = Instant.EPOCH;

  /** Guards against items that end by a configuration that nobody has shown to be current. */
  @ParameterizedTest
  @CsvSource({"4, 4, false", "5, 5, true", "9, 4, false", "9, 6, true", "20, 6, false"})
  void endsAnItemOnlyByARecentProof(int nowSeconds, int provenSeconds, boolean over) {
    RouteAbsences absences = new RouteAbsences();
    absences.update("i", false, START);
    assertEquals(over, absences.over("i", at(nowSeconds), at(provenSeconds)));
    absences.update("i", true, at(nowSeconds));
    absences.update("i", false, at(nowSeconds));
    assertEquals(false, absences.over("i", at(nowSeconds + 1), at(nowSeconds + 1)));
  }

  private static Instant at(int seconds) {
    return START.plus(Duration.ofSeconds(seconds));
  }
}
