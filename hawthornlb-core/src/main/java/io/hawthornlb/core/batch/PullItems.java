package io.hawthornlb.core.batch;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.ServiceName;

/**
 * Effect that requests items to execute from the job coordinators.
 *
 * @param endpoint endpoint that will execute the items
 * @param service service of the endpoint
 * @param count maximum number of items
 */
public record PullItems(EndpointId endpoint, ServiceName service, int count) implements Effect {}
