package io.hawthornlb.core.batch;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.endpoint.LoadReport;
import io.hawthornlb.core.model.InstanceId;
import java.time.Instant;
import java.util.List;

/**
 * Executes batch items at one endpoint; confined to one thread.
 *
 * <p>Each item taken ends in exactly one of: a started execution whose outcome came, or {@link
 * ReturnItems}.
 */
public interface Steward {

  /** Takes items that were pulled; an empty list says that there are none now. */
  List<Effect> onItems(List<BatchItem> items, Instant now);

  /** Takes the number of online requests that an entry has in flight at the endpoint. */
  List<Effect> onOnline(InstanceId entry, int inFlight, Instant now);

  /** Takes how many tokens a running item has generated; the first call ends its prefill. */
  List<Effect> onProgress(ItemRef item, int generated, Instant now);

  /** Takes the end of an execution. */
  List<Effect> onEnded(ItemRef item, BatchOutcome outcome, int generated, Instant now);

  /** Takes a load report of the endpoint. */
  List<Effect> onLoad(LoadReport report, Instant now);

  /** Does what the passing of time calls for; called several times a second. */
  List<Effect> onTick(Instant now);

  /** Gives everything back: running items are cancelled, waiting ones are returned. */
  List<Effect> onStop(Instant now);

  /** Returns how many batch items the endpoint executed at a time, to complete a load report. */
  int batchAt(Instant time);
}
