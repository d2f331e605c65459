package io.hawthornlb.app.entry;

import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerHandler;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.core.peer.PeerTransport;
import io.hawthornlb.net.platform.InstanceList;
import io.hawthornlb.net.platform.InstanceListClient;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Reads the list of instances from the platform, or from a peer if the platform does not answer and
 * this instance has no list yet.
 *
 * <p>An instance that starts while the platform is unreachable would otherwise know no endpoint,
 * and would refuse every request although its peers continue to serve.
 */
final class PeerInstanceList implements InstanceListClient, PeerHandler<InstanceListRequest> {

  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  private final InstanceListClient platform;
  private final PeerTransport peers;
  private final AtomicReference<Optional<InstanceList>> last =
      new AtomicReference<>(Optional.empty());

  PeerInstanceList(InstanceListClient platform, PeerTransport peers) {
    this.platform = platform;
    this.peers = peers;
  }

  @Override
  public CompletionStage<InstanceList> list() {
    return platform
        .list()
        .thenApply(this::keep)
        .handle(
            (list, failure) ->
                list != null || last.get().isPresent()
                    ? platformResult(list, failure)
                    : askPeer(failure).thenApply(this::keep))
        .thenCompose(stage -> stage);
  }

  @Override
  public CompletionStage<Void> announce(ListedProcess process) {
    return platform.announce(process);
  }

  @Override
  public CompletionStage<Void> withdraw(String id) {
    return platform.withdraw(id);
  }

  @Override
  public CompletionStage<PeerMessage> handle(InstanceId sender, InstanceListRequest request) {
    return CompletableFuture.completedFuture(new InstanceListAnswer(last.get()));
  }

  private InstanceList keep(InstanceList list) {
    last.set(Optional.of(list));
    return list;
  }

  private static CompletionStage<InstanceList> platformResult(
      InstanceList list, Throwable failure) {
    return list != null
        ? CompletableFuture.completedFuture(list)
        : CompletableFuture.failedFuture(failure);
  }

  private CompletionStage<InstanceList> askPeer(Throwable failure) {
    Optional<InstanceId> peer = peers.reachable().stream().findAny();
    if (peer.isEmpty()) {
      return CompletableFuture.failedFuture(failure);
    }
    return peers
        .request(peer.get(), new InstanceListRequest(), TIMEOUT)
        .thenCompose(
            answer ->
                answer instanceof InstanceListAnswer found && found.list().isPresent()
                    ? CompletableFuture.completedFuture(found.list().get())
                    : CompletableFuture.failedFuture(failure));
  }
}
