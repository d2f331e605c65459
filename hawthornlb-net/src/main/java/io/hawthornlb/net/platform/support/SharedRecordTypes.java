package io.hawthornlb.net.platform.support;

import io.hawthornlb.core.catalogue.CatalogueEdit;
import io.hawthornlb.core.catalogue.CatalogueSnapshot;
import io.hawthornlb.core.claim.ClaimRecord;
import io.hawthornlb.core.claim.ClaimSnapshot;
import io.hawthornlb.core.claim.ReleaseRecord;
import io.hawthornlb.core.claim.RenewalRecord;
import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.net.codec.TypeRegistry;

/** Registers the wire names of the records in the streams that every instance folds. */
public final class SharedRecordTypes {

  private SharedRecordTypes() {}

  /** Registers the records of the streams {@code catalogue} and {@code claims}. */
  public static TypeRegistry.Builder<RecordBody> register(
      TypeRegistry.Builder<RecordBody> builder) {
    return builder
        .register("catalogue-edit", CatalogueEdit.class)
        .register("catalogue-snapshot", CatalogueSnapshot.class)
        .register("claim", ClaimRecord.class)
        .register("claim-renewal", RenewalRecord.class)
        .register("claim-release", ReleaseRecord.class)
        .register("claim-snapshot", ClaimSnapshot.class);
  }
}
