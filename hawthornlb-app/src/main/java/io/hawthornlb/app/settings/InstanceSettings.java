package io.hawthornlb.app.settings;

import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;

/**
 * Who this instance is.
 *
 * @param id its name; unique in the fleet
 * @param dataCentre where it runs
 */
public record InstanceSettings(InstanceId id, DataCentre dataCentre) {}
