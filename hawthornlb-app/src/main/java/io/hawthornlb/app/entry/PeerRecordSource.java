package io.hawthornlb.app.entry;

import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerTransport;
import io.hawthornlb.net.platform.LogPage;
import io.hawthornlb.net.platform.MissedRecordSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Requests log records from up to three reachable peers, one after another in random order, until a
 * peer returns any.
 */
final class PeerRecordSource implements MissedRecordSource {

  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final int MAX_PEERS = 3;

  private final PeerTransport peers;

  PeerRecordSource(PeerTransport peers) {
    this.peers = peers;
  }

  @Override
  public CompletionStage<LogPage> read(StreamName stream, long from, int max) {
    List<InstanceId> order = new ArrayList<>(peers.reachable());
    Collections.shuffle(order);
    List<InstanceId> candidates = order.subList(0, Math.min(MAX_PEERS, order.size()));
    return ask(new MissedRecordsRequest(stream, from, max), candidates);
  }

  private CompletionStage<LogPage> ask(MissedRecordsRequest request, List<InstanceId> order) {
    if (order.isEmpty()) {
      return CompletableFuture.completedFuture(
          new LogPage(List.of(), request.from(), request.from()));
    }
    List<InstanceId> rest = order.subList(1, order.size());
    return peers
        .request(order.get(0), request, TIMEOUT)
        .handle(
            (answer, failure) ->
                answer instanceof MissedRecordsAnswer found && !found.page().records().isEmpty()
                    ? CompletableFuture.completedFuture(found.page())
                    : ask(request, rest))
        .thenCompose(stage -> stage);
  }
}
