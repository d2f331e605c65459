package io.hawthornlb.core.crash.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.crash.EndpointCrash;
import io.hawthornlb.core.crash.ProbeSchedule;
import io.hawthornlb.core.crash.PromptParts;
import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import org.junit.jupiter.api.Test;

class DefaultPartSuspicionsTest {

  private static final ProbeSchedule PROBES = new LimitedProbes();

  private final DefaultPartSuspicions suspicions = new DefaultPartSuspicions();
  private Instant now = Instant.parse("2026-01-01T00:00:00Z");

  private void crash(String id, String... parts) {
    suspicions.crashed(new EndpointCrash(id, Set.of(parts)), now);
  }

  private boolean blocked(String... parts) {
    return suspicions.check(new PromptParts(Set.of(parts)), PROBES, now).isPresent();
  }

  /** Returns whether a request with a part is sent as a probe. */
  private boolean admit(String part) {
    return !suspicions.admit(new PromptParts(Set.of(part)), PROBES, now).probed().isEmpty();
  }

  /** Guards against a block of one of two parts that cannot be told apart, which may be sound. */
  @Test
  void blocksOnlyRequestsWithAllPartsThatExplainTheSameCrashes() {
    for (String crash : new String[] {"c1", "c2", "c3"}) {
      crash(crash, "caller", "bad");
    }
    assertTrue(blocked("caller", "bad"));
    assertFalse(blocked("caller"));
    suspicions.began(new PromptParts(Set.of("caller")), now);
    assertTrue(blocked("bad"));
  }

  /** Guards against a block of a part that was at an endpoint beside a crashing one. */
  @Test
  void blocksNoPartWhoseCrashesAnotherOneExplains() {
    crash("c1", "bad");
    for (String crash : new String[] {"c2", "c3", "c4"}) {
      crash(crash, "bad", "beside");
    }
    assertTrue(blocked("bad"));
    assertFalse(blocked("beside"));
  }

  @Test
  void countsACrashOnceThoughSeveralInstancesTellOfIt() {
    for (int i = 0; i < 5; i++) {
      crash("c1", "part");
    }
    assertFalse(blocked("part"));
  }

  /** Guards against a part that is blocked for ever, and against endless probes of it. */
  @Test
  void letsThreeProbesThroughInAll() {
    crash("c1", "bad");
    crash("c2", "bad");
    crash("c3", "bad");
    int probes = 0;
    for (int minute = 0; minute < 24 * 60; minute++) {
      if (!blocked("bad") && admit("bad")) {
        assertTrue(blocked("bad"));
        probes++;
        crash("p" + probes, "bad");
      }
      now = now.plus(Duration.ofMinutes(1));
    }
    assertEquals(LimitedProbes.MAX_PROBES, probes);
    assertEquals(Set.of(), suspicions.expire(now));
  }

  @Test
  void forgetsAPartThatNobodyAsksFor() {
    crash("c1", "bad");
    now = now.plus(DefaultPartSuspicions.RETENTION).plusSeconds(1);
    assertEquals(Set.of("bad"), suspicions.expire(now));
  }

  /** Guards against memory that callers fill with parts that they make up. */
  @Test
  void keepsTheMostSuspectedOfManyParts() {
    crash("c1", "bad");
    crash("c2", "bad");
    crash("c3", "bad");
    for (int i = 0; i < 2 * DefaultPartSuspicions.MAX_SUSPECTED; i++) {
      crash("c3", "made up " + i);
    }
    assertEquals(DefaultPartSuspicions.MAX_SUSPECTED, suspicions.suspected().size());
    assertTrue(blocked("bad"));
  }
}
