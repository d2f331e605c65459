package io.hawthornlb.core.job;

import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.Optional;

/**
 * Answers a {@link SubmitJob} or {@link CancelJob}.
 *
 * @param request identifies the question
 * @param job the job
 * @param kind what became of it
 * @param refusal the reason, where it was refused
 */
public record JobAnswer(RequestId request, JobId job, JobAnswerKind kind, Optional<Refusal> refusal)
    implements PeerMessage {}
