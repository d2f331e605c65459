package io.hawthornlb.core.claim;

import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.model.DataCentre;
import java.time.Duration;

/**
 * Shows that its writer lives, and so renews all partitions that it holds.
 *
 * @param dataCentre where the writer runs
 * @param interval the time after which the writer means to renew again
 * @param leaving whether the writer takes no further partition
 */
public record RenewalRecord(DataCentre dataCentre, Duration interval, boolean leaving)
    implements RecordBody {}
