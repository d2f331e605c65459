package io.hawthornlb.core.work.support;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.work.LearnedWork;
import io.hawthornlb.core.work.WorkEstimator;
import io.hawthornlb.core.work.WorkSize;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Estimates a request by its prompt tokens, its hint and the usual output of its workspace, all
 * weighted by how accurate they proved in completed uses.
 *
 * <p>Hint and usual output are combined by the inverse of their mean square errors, those of the
 * workspace if it has enough uses. A workspace whose hints are wrong is thus estimated by its usual
 * output. The workspaces that were used least recently are forgotten, which bounds the memory.
 */
public final class LearningWorkEstimator implements WorkEstimator {

  /** Maximum number of workspaces that are remembered. */
  static final int MAX_WORKSPACES = 10_000;

  /** Uses below which a workspace is estimated by the figures of the service. */
  static final int FEW_USES = 8;

  /** Output time before the first use has ended; that of a short answer of 250 tokens. */
  private static final Duration FIRST_OUTPUT = Duration.ofMillis(500);

  /** Uses that the initial or restored figures of a service count as. */
  private static final double INITIAL_USES = 2;

  private static final double MAX_RESTORED_USES = 50;

  /** Errors before any are known: usual outputs differ by a factor of 2, hints by one of 1.6. */
  private static final double FIRST_USUAL_ERROR = 0.5;

  private static final double FIRST_HINT_ERROR = 0.25;

  /** Least error of a hint, so that none is trusted to the full. */
  private static final double LEAST_ERROR = 0.001;

  /** Least share of a use that counts as output, however long its prompt is. */
  private static final double LEAST_OUTPUT_SHARE = 0.1;

  /** Factor below its hint at which a use is taken for one that has failed. */
  private static final double MAX_SHORTFALL = 16;

  /** Least share of its output that an unfinished item is assumed to need still. */
  private static final double LEAST_REMAINING_SHARE = 0.15;

  /** Requests whose prompts the usual length of a prompt is the mean of. */
  private static final double PROMPT_WINDOW = 500;

  private final TokenTimes tokens = new TokenTimes();
  private final Map<WorkspaceId, OutputHistory> workspaces =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<WorkspaceId, OutputHistory> eldest) {
          return size() > MAX_WORKSPACES;
        }
      };
  private OutputHistory service;
  private Correction hintedCorrection;
  private Correction usualCorrection;
  private MovingAverage promptTokens = new MovingAverage(PROMPT_WINDOW, 0, 0);
  private long uses;

  /** Creates an estimator of online requests. */
  public LearningWorkEstimator() {
    this(FIRST_OUTPUT);
  }

  /**
   * Creates an estimator.
   *
   * @param first estimate before the first use has ended
   */
  public LearningWorkEstimator(Duration first) {
    double millis = first.toNanos() / 1e6;
    service =
        new OutputHistory(Math.log(millis), FIRST_USUAL_ERROR, FIRST_HINT_ERROR, INITIAL_USES);
    hintedCorrection = new Correction(1, millis);
    usualCorrection = new Correction(1, millis);
  }

  @Override
  public Duration estimate(WorkSize size, @Nullable WorkspaceId workspace) {
    return millis(promptMillis(size) + outputMillis(size, workspace));
  }

  /**
   * Returns the time for which a request uses another slot that has produced part of its output;
   * its prompt is processed again.
   *
   * @param produced time that producing its output took so far, at usual pace
   */
  public Duration remaining(WorkSize size, @Nullable WorkspaceId workspace, Duration produced) {
    double output = outputMillis(size, workspace);
    double before = Math.max(0, produced.toNanos() / 1e6);
    double least = LEAST_REMAINING_SHARE * Math.max(output, before);
    return millis(promptMillis(size) + Math.max(least, output - before));
  }

  /** Returns the time for which a request of the service uses a slot on average. */
  public Duration usual() {
    return estimate(WorkSize.NONE, null);
  }

  /** Returns the time that processing the prompt of a request takes. */
  public Duration promptTime(WorkSize size) {
    return millis(promptMillis(size));
  }

  @Override
  public void completed(WorkSize size, @Nullable WorkspaceId workspace, Duration slotTime) {
    double used = Math.max(1e-3, slotTime.toNanos() / 1e6);
    double typical = typicalMillis(size, workspace);
    learnPrompt(size, used, corrected(size, typical));
    double output = output(size, used);
    usualCorrection.used(output, Math.exp(usualLog(history(workspace))));
    if (hinted(size)) {
      hintedCorrection.used(output, typical);
    }
    double logOutput = Math.log(output);
    if (workspace != null) {
      learn(workspaces.computeIfAbsent(workspace, id -> emptyHistory()), size, logOutput);
    }
    learn(service, size, logOutput);
    if (hasHint(size)) {
      tokens.learnOutput(size.hintedOutputTokens(), output);
    }
    uses++;
  }

  /**
   * Learns the time per token from a use whose output length is unlike that of the requests that
   * are estimated, as that of a batch item. Uses without a hint are ignored.
   */
  public void learnTokenTimes(WorkSize size, Duration slotTime) {
    if (!hinted(size)) {
      return;
    }
    double used = Math.max(1e-3, slotTime.toNanos() / 1e6);
    double output = output(size, used);
    if (output * MAX_SHORTFALL < hintMillis(size)) {
      // An endpoint that fails an item at once ends the use as if it had answered.
      return;
    }
    learnPrompt(size, used, hintMillis(size));
    tokens.learnOutput(size.hintedOutputTokens(), output);
  }

  /** Returns what was learned about the service. */
  public LearnedWork export() {
    return new LearnedWork(
        uses,
        tokens.promptMillis(),
        tokens.outputMillis(),
        promptTokens.mean(),
        Math.exp(service.logMillis()),
        service.hintError(),
        service.usualError(),
        hintedCorrection.ratio(),
        usualCorrection.ratio());
  }

  /** Replaces what was learned by what another estimator has learned. */
  public void restore(LearnedWork learned) {
    double counted = Math.min(MAX_RESTORED_USES, Math.max(INITIAL_USES, learned.uses()));
    double usual = learned.usualOutputMillis();
    workspaces.clear();
    tokens.restore(learned.promptTokenMillis(), learned.outputTokenMillis());
    service =
        new OutputHistory(Math.log(usual), learned.usualError(), learned.hintError(), counted);
    hintedCorrection = new Correction(learned.hintedCorrection(), usual);
    usualCorrection = new Correction(learned.usualCorrection(), usual);
    promptTokens = new MovingAverage(PROMPT_WINDOW, learned.usualPromptTokens(), counted);
    uses = learned.uses();
  }

  int workspaces() {
    return workspaces.size();
  }

  private void learn(OutputHistory history, WorkSize size, double logOutput) {
    history.used(logOutput);
    if (hinted(size)) {
      history.hinted(logOutput, Math.log(hintMillis(size)));
    }
  }

  private OutputHistory emptyHistory() {
    return new OutputHistory(service.logMillis(), service.usualError(), service.hintError(), 0);
  }

  private void learnPrompt(WorkSize size, double used, double output) {
    if (size.promptTokens() != WorkSize.UNKNOWN) {
      promptTokens.add(size.promptTokens());
      tokens.learnPrompt(size.promptTokens(), used, output);
    }
  }

  private double promptMillis(WorkSize size) {
    boolean stated = size.promptTokens() != WorkSize.UNKNOWN;
    return (stated ? size.promptTokens() : promptTokens.mean()) * tokens.promptMillis();
  }

  /** Returns the part of a use in which output was produced. */
  private double output(WorkSize size, double used) {
    return Math.max(LEAST_OUTPUT_SHARE * used, used - promptMillis(size));
  }

  private double outputMillis(WorkSize size, @Nullable WorkspaceId workspace) {
    return corrected(size, typicalMillis(size, workspace));
  }

  private double corrected(WorkSize size, double typical) {
    double output = typical * (hinted(size) ? hintedCorrection : usualCorrection).ratio();
    double perToken = tokens.outputMillis();
    boolean bounded = perToken > 0 && size.maxOutputTokens() != WorkSize.UNKNOWN;
    return bounded ? Math.min(output, perToken * Math.max(1, size.maxOutputTokens())) : output;
  }

  /** Returns the output time of a typical request of this size. */
  private double typicalMillis(WorkSize size, @Nullable WorkspaceId workspace) {
    OutputHistory own = history(workspace);
    double usual = usualLog(own);
    double usesWeight = own == null ? 0 : weight(own.uses());
    if (!hinted(size)) {
      return Math.exp(usual);
    }
    double hintsWeight = own == null ? 0 : weight(own.hints());
    double usualError = mix(usesWeight, own == null ? 0 : own.usualError(), service.usualError());
    double hintError = mix(hintsWeight, own == null ? 0 : own.hintError(), service.hintError());
    double trust = usualError / (usualError + Math.max(LEAST_ERROR, hintError));
    return Math.exp(mix(trust, Math.log(hintMillis(size)), usual));
  }

  private @Nullable OutputHistory history(@Nullable WorkspaceId workspace) {
    return workspace == null ? null : workspaces.get(workspace);
  }

  private double usualLog(@Nullable OutputHistory own) {
    return own == null
        ? service.logMillis()
        : mix(weight(own.uses()), own.logMillis(), service.logMillis());
  }

  private static double weight(double uses) {
    return uses < FEW_USES ? 0 : uses / (uses + FEW_USES);
  }

  private static double mix(double weight, double first, double second) {
    return weight * first + (1 - weight) * second;
  }

  /** Returns whether a request states a usable hint and the time per output token is known. */
  private boolean hinted(WorkSize size) {
    return hasHint(size) && tokens.outputMillis() > 0;
  }

  private static boolean hasHint(WorkSize size) {
    int max = size.maxOutputTokens();
    int hint = size.hintedOutputTokens();
    return hint > 0 && (max == WorkSize.UNKNOWN || hint <= max);
  }

  private double hintMillis(WorkSize size) {
    return size.hintedOutputTokens() * tokens.outputMillis();
  }

  private static Duration millis(double millis) {
    return Duration.ofNanos(1_000 * Math.round(millis * 1_000));
  }
}
