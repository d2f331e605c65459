package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.core.model.RunStatus;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Every point where a run-once request can stop without a result, and what the caller is told.
 *
 * <p>"Not run" speaks of the key: neither this send nor an earlier one has reached an endpoint. An
 * instance that can't know of earlier sends of a caller's key says "not run" only of a first send.
 */
public enum StopPoint {
  /** No instance held the partition before the deadline. */
  NO_HOLDER(
      Truth.NOT_RUN_IF_FIRST,
      RefusalReason.NOT_DURABLE,
      "no instance decides for this key now",
      Retry.SOON),
  /** The entry has too many requests under way and sent this one to nobody. */
  ENTRY_FULL(
      Truth.NOT_RUN_IF_FIRST,
      RefusalReason.LIMIT_EXCEEDED,
      "too many requests of this kind are under way",
      Retry.SOON),
  /** The holder was asked and gave no answer by the deadline. */
  HOLDER_SILENT(
      Truth.MAY_HAVE_RUN,
      RefusalReason.TIMEOUT,
      "the instance that decides for this key gave no answer",
      Retry.SOON),
  /** The holder has not yet learned what earlier holders ran. */
  RECOVERING(
      Truth.NOT_RUN_IF_FIRST,
      RefusalReason.NOT_DURABLE,
      "what ran under earlier holders is being collected",
      Retry.SOON),
  /** No witness of an earlier holder could be asked, so that the key may have run. */
  WITNESSES_LOST(
      Truth.MAY_HAVE_RUN,
      RefusalReason.NOT_DURABLE,
      "the memory of an earlier holder is lost; this key is not run again",
      Retry.NEVER),
  /** The holder has too many requests under way. */
  HOLDER_FULL(
      Truth.NOT_RUN_IF_FIRST,
      RefusalReason.LIMIT_EXCEEDED,
      "too many requests of this kind are under way",
      Retry.SOON),
  /** The key is bound to other content, durably. */
  CONTENT_CONFLICT(
      Truth.NOT_RUN,
      RefusalReason.KEY_CONFLICT,
      "the idempotency key was used with other content",
      Retry.NEVER),
  /** The key is bound to other content by an attempt that is not durable yet. */
  CONTENT_CONFLICT_PENDING(
      Truth.MAY_HAVE_RUN,
      RefusalReason.KEY_CONFLICT,
      "the idempotency key is in use with other content",
      Retry.NEVER),
  /** The intent became durable neither in the log nor at the witnesses. */
  INTENT_NOT_DURABLE(
      Truth.NOT_RUN_IF_FIRST,
      RefusalReason.NOT_DURABLE,
      "neither the log nor the witnesses could be reached; nothing was run for this request",
      Retry.SOON),
  /** The intent was durable, but no endpoint got a byte of the call. */
  NOT_DISPATCHED(
      Truth.NOT_RUN, RefusalReason.NO_ENDPOINT, "no endpoint took the request", Retry.SOON),
  /** The connection failed after an endpoint may have had a byte of the call. */
  ENDPOINT_FAILED(
      Truth.MAY_HAVE_RUN,
      RefusalReason.ENDPOINT_FAILED,
      "the endpoint failed while it had the request; the key is not run again",
      Retry.NEVER),
  /** The deadline passed while an endpoint had the call; the outcome may still become known. */
  STILL_RUNNING(
      Truth.MAY_HAVE_RUN,
      RefusalReason.TIMEOUT,
      "the endpoint has not answered; ask again with the same key for the outcome",
      Retry.SOON),
  /** An earlier holder made the intent, and no outcome is known. */
  OUTCOME_UNKNOWN(
      Truth.MAY_HAVE_RUN,
      RefusalReason.ENDPOINT_FAILED,
      "an earlier send of this key may have run; its outcome is not known",
      Retry.NEVER),
  /** The request has run, and its result can't be read now. */
  RESULT_UNREADABLE(
      Truth.MAY_HAVE_RUN,
      RefusalReason.NOT_DURABLE,
      "the request has run; its result can't be read now",
      Retry.SOON);

  private static final Duration SOON_DELAY = Duration.ofSeconds(2);

  private final Truth truth;
  private final RefusalReason reason;
  private final String detail;
  private final Retry retry;

  StopPoint(Truth truth, RefusalReason reason, String detail, Retry retry) {
    this.truth = truth;
    this.reason = reason;
    this.detail = detail;
    this.retry = retry;
  }

  /**
   * Returns what a caller is told about the execution.
   *
   * @param firstSend whether nobody can have sent the key before
   */
  public RunStatus runStatus(boolean firstSend) {
    boolean notRun = truth == Truth.NOT_RUN || truth == Truth.NOT_RUN_IF_FIRST && firstSend;
    return notRun ? RunStatus.NOT_RUN : RunStatus.MAY_HAVE_RUN;
  }

  /** Returns the refusal for the caller. */
  public Refusal refusal(boolean firstSend) {
    Optional<Duration> delay = retry == Retry.SOON ? Optional.of(SOON_DELAY) : Optional.empty();
    return new Refusal(reason, runStatus(firstSend), delay, detail, List.of());
  }

  private enum Truth {
    NOT_RUN,
    NOT_RUN_IF_FIRST,
    MAY_HAVE_RUN
  }

  private enum Retry {
    SOON,
    NEVER
  }
}
