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

/** Peers that answer as the test says; one without an answer fails. */
final class ScriptedJobPeers implements JobPeers {

  private final String self;
  private final Map<String, HttpReply> replies = new HashMap<>();
  private final Map<String, RuntimeException> failures = new HashMap<>();
  private final List<String> asked = new ArrayList<>();
  private @Nullable String deputy;

  ScriptedJobPeers(String self) {
    this.self = self;
  }

  void answers(String name, HttpReply reply) {
    replies.put(name, reply);
  }

  void fails(String name, RuntimeException failure) {
    failures.put(name, failure);
  }

  void setDeputy(String name) {
    deputy = name;
  }

  /** Returns whom this process has asked, in order. */
  List<String> asked() {
    return asked;
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
  public Optional<String> deputy(int partition, String holder) {
    return Optional.ofNullable(deputy);
  }

  @Override
  public CompletionStage<HttpReply> ask(String name, FrontRequest request, Duration patience) {
    asked.add(name);
    HttpReply reply = replies.get(name);
    if (reply != null) {
      return CompletableFuture.completedFuture(reply);
    }
    RuntimeException silence = new IllegalStateException(name + " does not answer");
    return CompletableFuture.failedFuture(failures.getOrDefault(name, silence));
  }
}
