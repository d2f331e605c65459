package io.hawthornlb.core.job;

import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.Optional;

/**
 * Answers a {@link SubmitJob} or {@link CancelJob}.
 *
 * @param request identifies the request that is answered
 * @param job the job
 * @param kind the result of the request
 * @param refusal the reason for a refusal; empty unless the request was refused
 */
public record JobAnswer(RequestId request, JobId job, JobAnswerKind kind, Optional<Refusal> refusal)
    implements PeerMessage {}
