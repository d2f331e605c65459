package io.hawthornlb.standin.support;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

class LaggingValueTest {

  private final AtomicReference<Instant> now = new AtomicReference<>(Instant.EPOCH);
  private final LaggingValue<String> value =
      new LaggingValue<>("first", Duration.ofSeconds(1), now::get);

  private void pass(long millis) {
    now.updateAndGet(before -> before.plusMillis(millis));
  }

  @Test
  void readersSeeEachValueAfterTheLag() {
    pass(100);
    value.publish("second");
    pass(999);
    assertEquals("first", value.visible().value());
    pass(1);
    assertEquals("second", value.visible().value());
  }

  /**
   * A busy engine published a load every few milliseconds. Readers kept seeing the first one for
   * good if each publication put the time of the one before it off; the time must stay.
   */
  @Test
  void frequentPublicationDoesNotHoldValuesBack() {
    for (int millis = 0; millis < 3_000; millis++) {
      pass(1);
      value.publish("at " + millis);
    }
    assertEquals(true, value.visible().asOf().isAfter(Instant.EPOCH.plusMillis(1_990)));
  }

  @Test
  void tokenBucketTellsWhenToComeBack() {
    TokenBucket bucket = new TokenBucket(10, 2, now::get);
    assertEquals(Duration.ZERO, bucket.tryTake());
    assertEquals(Duration.ZERO, bucket.tryTake());
    assertEquals(Duration.ofMillis(100), bucket.tryTake());
    pass(100);
    assertEquals(Duration.ZERO, bucket.tryTake());
  }
}
