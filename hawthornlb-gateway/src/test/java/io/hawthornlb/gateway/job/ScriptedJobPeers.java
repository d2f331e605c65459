package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.front.FrontRequest;
import io.hawthornlb.gateway.http.HttpReply;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.jspecify.annotations.Nullable;

/** Peers whose replies the test sets; a call to a peer without a reply fails. */
final class ScriptedJobPeers implements JobPeers {

  private final String self;
  private final Map<String, HttpReply> replies = new HashMap<>();
  private final Map<String, RuntimeException> failures = new HashMap<>();
  private final List<String> calledPeers = new ArrayList<>();
  private @Nullable String standby;

  ScriptedJobPeers(String self) {
    this.self = self;
  }

  void reply(String name, HttpReply reply) {
    replies.put(name, reply);
  }

  void fail(String name, RuntimeException failure) {
    failures.put(name, failure);
  }

  void setStandby(String name) {
    standby = name;
  }

  /** Returns the names of the called peers, in order. */
  List<String> calledPeers() {
    return calledPeers;
  }

  @Override
  public String self() {
    return self;
  }

  @Override
  public int instances() {
    return 13;
  }

  @Override
  public boolean reachable(String name) {
    return true;
  }

  @Override
  public Optional<String> standby(int partition, String holder) {
    return Optional.ofNullable(standby);
  }

  @Override
  public CompletionStage<HttpReply> forward(String name, FrontRequest request, Duration timeout) {
    calledPeers.add(name);
    HttpReply reply = replies.get(name);
    if (reply != null) {
      return CompletableFuture.completedFuture(reply);
    }
    RuntimeException noReply = new IllegalStateException(name + " does not reply");
    return CompletableFuture.failedFuture(failures.getOrDefault(name, noReply));
  }
}
