package io.hawthornlb.standin.load.support;

import java.util.SplittableRandom;

/** Creates random generators that yield the same numbers for the same request in each run. */
final class Seeds {

  private static final long MIX = 0x9E3779B97F4A7C15L;

  private Seeds() {}

  static SplittableRandom random(long seed, String flow, int number) {
    return new SplittableRandom((seed * MIX + flow.hashCode()) * MIX + number);
  }
}
