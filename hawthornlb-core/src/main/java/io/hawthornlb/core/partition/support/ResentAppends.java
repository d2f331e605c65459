package io.hawthornlb.core.partition.support;

import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.effect.Effect;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Asks again for appends whose record has not come back in the stream.
 *
 * <p>Whoever carries out an append may give up while the platform is away. A decider that waits for
 * the record would then wait for good, and the job or request with it.
 */
public final class ResentAppends {

  private static final Duration INTERVAL = Duration.ofSeconds(10);

  private final List<Pending> pending = new ArrayList<>();

  /** Creates the list without appends. */
  public ResentAppends() {}

  /**
   * Asks for an append.
   *
   * @param effect the append
   * @param settled says whether the record has been folded or is not wanted any more
   * @param now the current time
   * @param out takes the effect
   */
  public void add(AppendRecord effect, BooleanSupplier settled, Instant now, List<Effect> out) {
    pending.add(new Pending(effect, settled, now));
    out.add(effect);
  }

  /** Forgets what is settled and asks again for the rest. */
  public void tick(Instant now, List<Effect> out) {
    if (pending.isEmpty()) {
      return;
    }
    pending.removeIf(append -> append.settled().getAsBoolean());
    pending.replaceAll(append -> append.due(now) ? again(append, now, out) : append);
  }

  /** Forgets all appends, at the end of a term. */
  public void clear() {
    pending.clear();
  }

  private static Pending again(Pending append, Instant now, List<Effect> out) {
    out.add(append.effect());
    return new Pending(append.effect(), append.settled(), now);
  }

  private record Pending(AppendRecord effect, BooleanSupplier settled, Instant sentAt) {

    private boolean due(Instant now) {
      return sentAt.plus(INTERVAL).isBefore(now);
    }
  }
}
