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

  private void advance(long millis) {
    now.updateAndGet(time -> time.plusMillis(millis));
  }

  @Test
  void readersSeeEachValueAfterTheLag() {
    advance(100);
    value.publish("second");
    advance(999);
    assertEquals("first", value.visible().value());
    advance(1);
    assertEquals("second", value.visible().value());
  }

  /**
   * Guards against a value that never becomes visible. A busy engine publishes its load every few
   * milliseconds. If a publication that replaces the previous one also moved its time, no value
   * would ever reach the lag, and readers would see the first value forever.
   */
  @Test
  void frequentPublicationDoesNotDelayValues() {
    for (int millis = 0; millis < 3_000; millis++) {
      advance(1);
      value.publish("at " + millis);
    }
    assertEquals(true, value.visible().asOf().isAfter(Instant.EPOCH.plusMillis(1_990)));
  }

  @Test
  void tokenBucketReturnsTheTimeUntilTheNextToken() {
    TokenBucket bucket = new TokenBucket(10, 2, now::get);
    assertEquals(Duration.ZERO, bucket.tryTake());
    assertEquals(Duration.ZERO, bucket.tryTake());
    assertEquals(Duration.ofMillis(100), bucket.tryTake());
    advance(100);
    assertEquals(Duration.ZERO, bucket.tryTake());
  }
}
