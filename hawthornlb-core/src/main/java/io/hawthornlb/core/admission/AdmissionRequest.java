package io.hawthornlb.core.admission;

import io.hawthornlb.core.model.RequestClass;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.model.WorkspaceId;
import java.time.Instant;

/**
 * A request that asks for admission.
 *
 * @param id the request
 * @param service the service that it asks for
 * @param workspace whose request it is
 * @param requestClass its class
 * @param deadline by when the answer is due
 */
public record AdmissionRequest(
    RequestId id,
    ServiceName service,
    WorkspaceId workspace,
    RequestClass requestClass,
    Instant deadline) {}
