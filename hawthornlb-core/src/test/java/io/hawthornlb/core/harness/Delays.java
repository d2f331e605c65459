package io.hawthornlb.core.harness;

import java.time.Duration;
import java.util.Random;

/** Modelled delays in microseconds. Each delay is drawn between 0.5 and 1.5 times its mean. */
public record Delays(int appendMicros, int peerMicros, int pollMicros, int tickMicros) {

  public static final Delays VATUWAQA = new Delays(5_000, 500, 1_000, 1_000);
  public static final Delays AL_HARTHY = new Delays(5_000, 1_500, 1_000, 1_000);
  public static final Delays COARSE = new Delays(5_000, 1_500, 5_000, 10_000);

  public Duration append(Random random) {
    return around(appendMicros, random);
  }

  public Duration peer(Random random) {
    return around(peerMicros, random);
  }

  public Duration poll() {
    return Duration.ofNanos(pollMicros * 1_000L);
  }

  public Duration tick() {
    return Duration.ofNanos(tickMicros * 1_000L);
  }

  private static Duration around(int micros, Random random) {
    return Duration.ofNanos((long) (micros * 1_000L * (0.5 + random.nextDouble())));
  }
}
