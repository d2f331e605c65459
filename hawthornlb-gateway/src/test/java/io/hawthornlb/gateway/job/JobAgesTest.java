package io.hawthornlb.gateway.job;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.VirtualLoop;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class JobAgesTest {

  private static final Duration KEPT = Duration.ofSeconds(60);

  private final VirtualLoop time = new VirtualLoop();
  private final JobAges ages = new JobAges(time);

  private Job job(Duration before) {
    return new Job("j", "h", time.instant().minus(before), List.of());
  }

  @Test
  void countsFromWhenThisProcessKnewTheJob() {
    Job job = job(Duration.ofMinutes(5));
    ages.note(List.of(job));
    time.advanceInOneStep(KEPT);
    assertFalse(ages.olderThan(job, KEPT));
    time.advanceInOneStep(Duration.ofMillis(1));
    assertTrue(ages.olderThan(job, KEPT));
  }

  @Test
  void takesAJobFromTheFutureForOneOfNow() {
    Job job = job(Duration.ofMinutes(-5));
    ages.note(List.of(job));
    time.advanceInOneStep(KEPT.plusMillis(1));
    assertTrue(ages.olderThan(job, KEPT));
  }

  @Test
  void forgetsJobsThatAreGone() {
    Job job = job(Duration.ZERO);
    ages.note(List.of(job));
    time.advanceInOneStep(KEPT.plusMillis(1));
    ages.note(List.of());
    assertFalse(ages.olderThan(job, KEPT));
  }
}
