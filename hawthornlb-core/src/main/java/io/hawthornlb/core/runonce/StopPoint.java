package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.core.model.RunStatus;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The points at which a run-once request can stop without a result, and the refusal that its caller
 * gets.
 *
 * <p>The run status "not run" refers to the key: neither this send nor an earlier one has reached
 * an endpoint. An instance that cannot know about earlier sends of a caller's key reports "not run"
 * only for a first send.
 */
public enum StopPoint {
  /**
   * No instance held the partition for as long as the entry instance waits for a holder, or until
   * the deadline.
   */
  NO_HOLDER(
      RunStatusRule.NOT_RUN_IF_FIRST,
      RefusalReason.NOT_DURABLE,
      "no instance decides for this key now",
      Retry.SOON),
  /** The entry instance has too many requests in progress and has not forwarded this one. */
  ENTRY_FULL(
      RunStatusRule.NOT_RUN_IF_FIRST,
      RefusalReason.LIMIT_EXCEEDED,
      "too many requests of this kind are under way",
      Retry.SOON),
  /** The request was forwarded to a holder, and no answer arrived by the deadline. */
  HOLDER_SILENT(
      RunStatusRule.MAY_HAVE_RUN,
      RefusalReason.TIMEOUT,
      "the instance that decides for this key gave no answer",
      Retry.SOON),
  /** The holder has not yet recovered what ran under earlier holders. */
  RECOVERING(
      RunStatusRule.NOT_RUN_IF_FIRST,
      RefusalReason.NOT_DURABLE,
      "what ran under earlier holders is being collected",
      Retry.SOON),
  /** Too few replicas of an earlier holder could be reached, so the key may have run. */
  WITNESSES_LOST(
      RunStatusRule.MAY_HAVE_RUN,
      RefusalReason.NOT_DURABLE,
      "the memory of an earlier holder is lost; this key is not run again",
      Retry.NEVER),
  /** The holder has too many requests in progress. */
  HOLDER_FULL(
      RunStatusRule.NOT_RUN_IF_FIRST,
      RefusalReason.LIMIT_EXCEEDED,
      "too many requests of this kind are under way",
      Retry.SOON),
  /** The key is durably bound to other content. */
  CONTENT_CONFLICT(
      RunStatusRule.NOT_RUN,
      RefusalReason.KEY_CONFLICT,
      "the idempotency key was used with other content",
      Retry.NEVER),
  /** The key is bound to other content by an attempt that is not durable yet. */
  CONTENT_CONFLICT_PENDING(
      RunStatusRule.MAY_HAVE_RUN,
      RefusalReason.KEY_CONFLICT,
      "the idempotency key is in use with other content",
      Retry.NEVER),
  /** The intent became durable neither in the log nor at the replicas. */
  INTENT_NOT_DURABLE(
      RunStatusRule.NOT_RUN_IF_FIRST,
      RefusalReason.NOT_DURABLE,
      "neither the log nor the witnesses could be reached; nothing was run for this request",
      Retry.SOON),
  /** The intent was durable, but no endpoint received a byte of the call. */
  NOT_DISPATCHED(
      RunStatusRule.NOT_RUN, RefusalReason.NO_ENDPOINT, "no endpoint took the request", Retry.SOON),
  /** The connection failed after an endpoint may have received a byte of the call. */
  ENDPOINT_FAILED(
      RunStatusRule.MAY_HAVE_RUN,
      RefusalReason.ENDPOINT_FAILED,
      "the endpoint failed while it had the request; the key is not run again",
      Retry.NEVER),
  /** The deadline passed while an endpoint had the call; the outcome may still become known. */
  STILL_RUNNING(
      RunStatusRule.MAY_HAVE_RUN,
      RefusalReason.TIMEOUT,
      "the endpoint has not answered; ask again with the same key for the outcome",
      Retry.SOON),
  /** An earlier holder recorded the intent, and no outcome is known. */
  OUTCOME_UNKNOWN(
      RunStatusRule.MAY_HAVE_RUN,
      RefusalReason.ENDPOINT_FAILED,
      "an earlier send of this key may have run; its outcome is not known",
      Retry.NEVER),
  /** The request has run, but its result cannot be read at present. */
  RESULT_UNREADABLE(
      RunStatusRule.MAY_HAVE_RUN,
      RefusalReason.NOT_DURABLE,
      "the request has run; its result can't be read now",
      Retry.SOON);

  private static final Duration SOON_DELAY = Duration.ofSeconds(2);

  private final RunStatusRule runStatusRule;
  private final RefusalReason reason;
  private final String detail;
  private final Retry retry;

  StopPoint(RunStatusRule runStatusRule, RefusalReason reason, String detail, Retry retry) {
    this.runStatusRule = runStatusRule;
    this.reason = reason;
    this.detail = detail;
    this.retry = retry;
  }

  /**
   * Returns the run status that is reported to the caller.
   *
   * @param firstSend whether the key cannot have been sent before
   */
  public RunStatus runStatus(boolean firstSend) {
    boolean notRun =
        runStatusRule == RunStatusRule.NOT_RUN
            || runStatusRule == RunStatusRule.NOT_RUN_IF_FIRST && firstSend;
    return notRun ? RunStatus.NOT_RUN : RunStatus.MAY_HAVE_RUN;
  }

  /** Returns the refusal that is reported to the caller. */
  public Refusal refusal(boolean firstSend) {
    Optional<Duration> delay = retry == Retry.SOON ? Optional.of(SOON_DELAY) : Optional.empty();
    return new Refusal(reason, runStatus(firstSend), delay, detail, List.of());
  }

  private enum RunStatusRule {
    NOT_RUN,
    NOT_RUN_IF_FIRST,
    MAY_HAVE_RUN
  }

  private enum Retry {
    SOON,
    NEVER
  }
}
