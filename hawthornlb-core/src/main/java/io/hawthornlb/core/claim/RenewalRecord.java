package io.hawthornlb.core.claim;

import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.model.DataCentre;
import java.time.Duration;

/**
 * Heartbeat of an instance, which renews its claims of all partitions that it holds.
 *
 * @param dataCentre the data centre in which the writer runs
 * @param interval the time after which the writer intends to renew again
 * @param leaving whether the writer is stopping and accepts no further partition
 */
public record RenewalRecord(DataCentre dataCentre, Duration interval, boolean leaving)
    implements RecordBody {}
