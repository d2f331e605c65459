package io.hawthornlb.app.batch;

import io.hawthornlb.core.batch.BatchItem;
import io.hawthornlb.core.job.ItemDispatch;
import io.hawthornlb.core.job.ItemKey;
import io.hawthornlb.core.job.JobItem;
import io.hawthornlb.core.suspect.Fingerprint;
import java.nio.charset.StandardCharsets;

/**
 * An item assigned to this instance, with its content read from the log.
 *
 * @param dispatch the assignment as the holder of the partition sent it
 * @param content the item as the caller submitted it
 * @param batch the item in the form that the batch dispatcher uses
 * @param fingerprint the fingerprint of the content; the same for every execution of that content
 */
record LoadedItem(
    ItemDispatch dispatch, JobItem content, BatchItem batch, Fingerprint fingerprint) {

  static Fingerprint fingerprint(String service, JobItem item) {
    return Fingerprint.of(service, item.body().getBytes(StandardCharsets.UTF_8));
  }

  ItemKey key() {
    return new ItemKey(dispatch.job(), dispatch.location().index());
  }

  /**
   * Returns the request id that is sent to endpoints. Every execution of the item has the same id,
   * so that an endpoint can resume an earlier execution.
   */
  String requestId() {
    return dispatch.job().value() + "." + dispatch.location().index();
  }
}
