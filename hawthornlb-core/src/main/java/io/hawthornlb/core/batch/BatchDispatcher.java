package io.hawthornlb.core.batch;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.endpoint.LoadReport;
import io.hawthornlb.core.model.InstanceId;
import java.time.Instant;
import java.util.List;

/**
 * Dispatches batch items to one endpoint. Implementations are confined to one thread.
 *
 * <p>Each item that the dispatcher receives ends in exactly one of two ways: the dispatcher starts
 * it and receives an outcome, or the dispatcher returns it by {@link ReturnItems}.
 */
public interface BatchDispatcher {

  /** Handles items that were pulled; an empty list means that no items are available now. */
  List<Effect> onItems(List<BatchItem> items, Instant now);

  /** Handles the number of online requests that an entry instance has in flight at the endpoint. */
  List<Effect> onOnline(InstanceId entry, int inFlight, Instant now);

  /**
   * Handles the number of tokens that a running item has generated; the first call for an item ends
   * its prefill.
   */
  List<Effect> onProgress(ItemRef item, int generated, Instant now);

  /** Handles the end of an execution. */
  List<Effect> onEnded(ItemRef item, BatchOutcome outcome, int generated, Instant now);

  /** Handles a load report of the endpoint. */
  List<Effect> onLoad(LoadReport report, Instant now);

  /** Starts, returns or pulls items as time passes. Call this method several times a second. */
  List<Effect> onTick(Instant now);

  /** Stops the dispatcher: cancels the running items and returns the waiting ones. */
  List<Effect> onStop(Instant now);

  /**
   * Returns the number of batch items that the endpoint executed at a time, so that a load report
   * can be completed.
   */
  int batchAt(Instant time);
}
