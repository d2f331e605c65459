package io.hawthornlb.core.partition.support;

import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.effect.Effect;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Requests an append again when its record has not appeared in the stream.
 *
 * <p>The log writer may abandon an append while the platform is unavailable. Without a new request,
 * the coordinator that waits for the record would wait forever, and so would the job or request
 * that depends on it.
 */
public final class ResentAppends {

  private static final Duration INTERVAL = Duration.ofSeconds(10);

  private final List<Pending> pending = new ArrayList<>();

  /** Creates an empty list of appends. */
  public ResentAppends() {}

  /**
   * Requests an append, and repeats the request every 10 seconds until the append is settled.
   *
   * @param effect the append
   * @param settled returns whether the record has been folded or is no longer needed
   * @param now the current time
   * @param out receives the effect
   */
  public void add(AppendRecord effect, BooleanSupplier settled, Instant now, List<Effect> out) {
    pending.add(new Pending(effect, settled, now));
    out.add(effect);
  }

  /** Removes settled appends, and requests the overdue ones of the others again. */
  public void tick(Instant now, List<Effect> out) {
    if (pending.isEmpty()) {
      return;
    }
    pending.removeIf(append -> append.settled().getAsBoolean());
    pending.replaceAll(append -> append.due(now) ? resend(append, now, out) : append);
  }

  /** Removes all appends, when the instance no longer holds the partition. */
  public void clear() {
    pending.clear();
  }

  private static Pending resend(Pending append, Instant now, List<Effect> out) {
    out.add(append.effect());
    return new Pending(append.effect(), append.settled(), now);
  }

  private record Pending(AppendRecord effect, BooleanSupplier settled, Instant sentAt) {

    private boolean due(Instant now) {
      return sentAt.plus(INTERVAL).isBefore(now);
    }
  }
}
