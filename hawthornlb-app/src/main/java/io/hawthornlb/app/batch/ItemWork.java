package io.hawthornlb.app.batch;

import io.hawthornlb.core.batch.BatchItem;
import io.hawthornlb.core.job.ItemDispatch;
import io.hawthornlb.core.job.ItemKey;
import io.hawthornlb.core.job.JobItem;
import io.hawthornlb.core.suspect.Fingerprint;
import java.nio.charset.StandardCharsets;

/**
 * An item that this instance has in progress.
 *
 * @param dispatch what its holder said
 * @param content the item as the caller gave it
 * @param batch the item as its steward sees it
 * @param fingerprint the same for every execution of the same content
 */
record ItemWork(ItemDispatch dispatch, JobItem content, BatchItem batch, Fingerprint fingerprint) {

  static Fingerprint fingerprint(String service, JobItem item) {
    return Fingerprint.of(service, item.body().getBytes(StandardCharsets.UTF_8));
  }

  ItemKey key() {
    return new ItemKey(dispatch.job(), dispatch.location().index());
  }

  /** Returns the id under which endpoints know the execution; the same for every one of them. */
  String requestId() {
    return dispatch.job().value() + "." + dispatch.location().index();
  }
}
