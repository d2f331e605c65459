package io.hawthornlb.core.admission;

import io.hawthornlb.core.model.RequestClass;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.model.WorkspaceId;
import java.time.Instant;

/**
 * A request that is offered for admission.
 *
 * @param id id of the request
 * @param service service that the request is for
 * @param workspace workspace that the request belongs to
 * @param requestClass class of the request
 * @param deadline time by which the answer is due
 */
public record AdmissionRequest(
    RequestId id,
    ServiceName service,
    WorkspaceId workspace,
    RequestClass requestClass,
    Instant deadline) {}
