package io.hawthornlb.core.claim;

import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.model.DataCentre;

/**
 * Shows that its writer lives, and so renews all partitions that it holds.
 *
 * @param dataCentre where the writer runs
 * @param leaving whether the writer takes no further partition
 */
public record RenewalRecord(DataCentre dataCentre, boolean leaving) implements RecordBody {}
