package io.hawthornlb.gateway.job;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.VirtualLoop;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class JobAgesTest {

  private static final Duration RETENTION = Duration.ofSeconds(60);

  private final VirtualLoop time = new VirtualLoop();
  private final JobAges ages = new JobAges(time);

  private Job job(Duration before) {
    return new Job("j", "h", time.instant().minus(before), List.of());
  }

  @Test
  void measuresAgeFromWhenThisProcessFirstKnewTheJob() {
    Job job = job(Duration.ofMinutes(5));
    ages.update(List.of(job));
    time.advanceInOneStep(RETENTION);
    assertFalse(ages.olderThan(job, RETENTION));
    time.advanceInOneStep(Duration.ofMillis(1));
    assertTrue(ages.olderThan(job, RETENTION));
  }

  @Test
  void treatsAJobFromTheFutureAsNew() {
    Job job = job(Duration.ofMinutes(-5));
    ages.update(List.of(job));
    time.advanceInOneStep(RETENTION.plusMillis(1));
    assertTrue(ages.olderThan(job, RETENTION));
  }

  @Test
  void removesJobsThatNoLongerExist() {
    Job job = job(Duration.ZERO);
    ages.update(List.of(job));
    time.advanceInOneStep(RETENTION.plusMillis(1));
    ages.update(List.of());
    assertFalse(ages.olderThan(job, RETENTION));
  }
}
