package io.hawthornlb.app.settings;

import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;

/**
 * Identity of this instance.
 *
 * @param id the id of the instance, unique in the fleet
 * @param dataCentre the data centre in which the instance runs
 */
public record InstanceSettings(InstanceId id, DataCentre dataCentre) {}
