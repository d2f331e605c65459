package io.hawthornlb.core.work.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.work.LearnedWork;
import io.hawthornlb.core.work.WorkSize;
import java.time.Duration;
import java.util.Random;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

class LearningWorkEstimatorTest {

  private static final double PROMPT_MILLIS = 0.2;
  private static final double OUTPUT_MILLIS = 2;
  private static final WorkspaceId HONEST = new WorkspaceId("honest");
  private static final WorkspaceId LYING = new WorkspaceId("lying");

  private final LearningWorkEstimator estimator = new LearningWorkEstimator();
  private final Random random = new Random(1);

  @Test
  void startsWithTheLengthOfAShortAnswer() {
    assertEquals(Duration.ofMillis(500), estimator.estimate(WorkSize.NONE, null));
  }

  @Test
  void learnsTheTimesPerTokenAndTheUsualLength() {
    complete(3_000, HONEST, 1);
    LearnedWork learned = estimator.export();
    assertEquals(PROMPT_MILLIS, learned.promptTokenMillis(), 0.05, learned.toString());
    assertEquals(OUTPUT_MILLIS, learned.outputTokenMillis(), 0.3, learned.toString());
    double mean = mean(new WorkSize(450, 4_000, WorkSize.UNKNOWN), HONEST);
    assertEquals(90 + OUTPUT_MILLIS * 233, mean, 90, learned.toString());
    assertEquals(490, mean(new WorkSize(450, 4_000, 200), HONEST), 100, learned.toString());
    assertTrue(mean(new WorkSize(450, 4_000, 800), HONEST) > 1_000, learned.toString());
  }

  /** Guards against a workspace that gets its requests served early by stating small counts. */
  @Test
  void distrustsTheHintsOfAWorkspaceThatLies() {
    for (int i = 0; i < 2_000; i++) {
      complete(1, HONEST, 1);
      if (i % 4 == 0) {
        complete(1, LYING, 1.0 / 32);
      }
    }
    double lying = mean(new WorkSize(450, 4_000, 6), LYING);
    assertTrue(lying > 300, "estimate with a hint of 6: " + lying);
    double honest = mean(new WorkSize(450, 4_000, 50), HONEST);
    assertTrue(honest < 300, "estimate with a hint of 50: " + honest);
  }

  /** Guards against estimates of hours or below zero, which would block or empty the queue. */
  @Test
  void treatsAbsurdHintsAsMissing() {
    complete(500, null, 1);
    double missing = mean(new WorkSize(450, 4_000, WorkSize.UNKNOWN), null);
    assertEquals(missing, mean(new WorkSize(450, 4_000, -7), null));
    assertEquals(missing, mean(new WorkSize(450, 4_000, 0), null));
    assertEquals(missing, mean(new WorkSize(450, 4_000, 4_001), null));
    assertEquals(missing, mean(new WorkSize(450, 4_000, Integer.MAX_VALUE), null));
  }

  @Test
  void boundsTheOutputByTheMaximum() {
    complete(500, null, 1);
    assertTrue(mean(new WorkSize(0, 10, WorkSize.UNKNOWN), null) < 30);
  }

  /** Guards against memory that grows with each workspace that was ever seen. */
  @Test
  void remembersABoundedNumberOfWorkspaces() {
    for (int i = 0; i < 2 * LearningWorkEstimator.MAX_WORKSPACES; i++) {
      complete(1, new WorkspaceId("w" + i), 1);
    }
    assertEquals(LearningWorkEstimator.MAX_WORKSPACES, estimator.workspaces());
  }

  @Test
  void estimatesAWorkspaceWithFewUsesLikeTheService() {
    complete(500, HONEST, 1);
    WorkspaceId rare = new WorkspaceId("rare");
    for (int i = 1; i < LearningWorkEstimator.FEW_USES; i++) {
      estimator.completed(WorkSize.NONE, rare, Duration.ofSeconds(9));
    }
    assertEquals(mean(WorkSize.NONE, null), mean(WorkSize.NONE, rare));
    for (int i = 0; i < 60; i++) {
      estimator.completed(WorkSize.NONE, rare, Duration.ofSeconds(9));
      complete(10, HONEST, 1);
    }
    assertTrue(mean(WorkSize.NONE, rare) > 4_000, "estimate: " + mean(WorkSize.NONE, rare));
  }

  /** Guards against token times that are learned from items that an endpoint fails at once. */
  @Test
  void learnsNothingFromItemsThatEndAtOnce() {
    complete(500, null, 1);
    LearnedWork before = estimator.export();
    for (int i = 0; i < 500; i++) {
      estimator.learnTokenTimes(new WorkSize(450, 4_000, 1_400), Duration.ofMillis(3));
    }
    assertEquals(before, estimator.export());
  }

  @Test
  void estimatesWhatIsLeftOfAnItem() {
    complete(2_000, HONEST, 1);
    WorkSize size = new WorkSize(450, 4_000, 800);
    double whole = mean(size, HONEST);
    double left = millis(estimator.remaining(size, HONEST, Duration.ofMillis(600)));
    assertEquals(whole - 600, left, 1);
    double overrun = millis(estimator.remaining(size, HONEST, Duration.ofSeconds(20)));
    assertTrue(overrun > 3_000, "estimate after 20 s: " + overrun);
  }

  /** Guards against a successor of a coordinator that estimates all requests by 500 ms. */
  @Test
  void continuesFromWhatAnotherEstimatorHasLearned() {
    complete(2_000, HONEST, 1);
    LearningWorkEstimator successor = new LearningWorkEstimator();
    successor.restore(estimator.export());
    WorkSize size = new WorkSize(450, 4_000, 800);
    double expected = mean(size, null);
    assertEquals(expected, millis(successor.estimate(size, null)), 0.01 * expected);
    assertEquals(estimator.export(), successor.export());
  }

  /** Completes uses of unequal lengths, with hints off by a random factor of mostly below 1.5. */
  private void complete(int count, @Nullable WorkspaceId workspace, double hintFactor) {
    for (int i = 0; i < count; i++) {
      int prompt = 100 + random.nextInt(900);
      double output = Math.max(1, 200 * Math.exp(0.55 * random.nextGaussian()));
      double hint = output * Math.exp(0.4 * random.nextGaussian()) * hintFactor;
      WorkSize size = new WorkSize(prompt, 4_000, (int) Math.max(1, hint));
      double used = PROMPT_MILLIS * prompt + OUTPUT_MILLIS * output;
      estimator.completed(size, workspace, Duration.ofNanos((long) (1e6 * used)));
    }
  }

  private double mean(WorkSize size, @Nullable WorkspaceId workspace) {
    return millis(estimator.estimate(size, workspace));
  }

  private static double millis(Duration duration) {
    return duration.toNanos() / 1e6;
  }
}
