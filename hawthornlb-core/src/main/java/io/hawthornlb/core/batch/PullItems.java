package io.hawthornlb.core.batch;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.ServiceName;

/**
 * Asks coordinators for items to execute.
 *
 * @param endpoint the endpoint that will execute them
 * @param service the service
 * @param count how many, at most
 */
public record PullItems(EndpointId endpoint, ServiceName service, int count) implements Effect {}
