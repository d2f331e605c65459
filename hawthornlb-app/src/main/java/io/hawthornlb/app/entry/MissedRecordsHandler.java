package io.hawthornlb.app.entry;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerHandler;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.net.platform.LogPage;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Answers peers with recent log records that this instance has read. */
final class MissedRecordsHandler implements PeerHandler<MissedRecordsRequest> {

  private static final int MAX_RECORDS = 500;

  private final LogAccess log;

  MissedRecordsHandler(LogAccess log) {
    this.log = log;
  }

  @Override
  public CompletionStage<PeerMessage> handle(InstanceId sender, MissedRecordsRequest request) {
    LogPage empty = new LogPage(List.of(), request.from(), request.from());
    LogPage page =
        log.recent(request.stream())
            .map(kept -> kept.from(request.from(), Math.min(MAX_RECORDS, request.max())))
            .orElse(empty);
    return CompletableFuture.completedFuture(new MissedRecordsAnswer(page));
  }
}
