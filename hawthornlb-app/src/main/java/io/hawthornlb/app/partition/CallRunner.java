package io.hawthornlb.app.partition;

import io.hawthornlb.app.dispatch.PlainCall;
import io.hawthornlb.app.dispatch.PlainService;
import io.hawthornlb.app.dispatch.RefusalException;
import io.hawthornlb.app.entry.DecisionLoop;
import io.hawthornlb.app.http.CatalogueSource;
import io.hawthornlb.core.catalogue.Catalogue;
import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.catalogue.WorkspaceEntry;
import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.core.model.RunStatus;
import io.hawthornlb.core.runonce.CallAnswered;
import io.hawthornlb.core.runonce.CallFailed;
import io.hawthornlb.core.runonce.CallNotStarted;
import io.hawthornlb.core.runonce.RunCall;
import io.hawthornlb.core.runonce.RunOnceEvent;
import io.hawthornlb.core.runonce.RunOnceRequest;
import java.util.Optional;
import java.util.function.Consumer;

/** Calls the service for a run-once request once the intent of the request is durable. */
final class CallRunner {

  private final PlainService plain;
  private final CatalogueSource catalogue;
  private final DecisionLoop loop;

  CallRunner(PlainService plain, CatalogueSource catalogue, DecisionLoop loop) {
    this.plain = plain;
    this.catalogue = catalogue;
    this.loop = loop;
  }

  /** Calls the service and passes exactly one event to {@code outcome} on the decision loop. */
  void run(RunCall run, Consumer<RunOnceEvent> outcome) {
    Optional<PlainCall> call = call(run.request());
    if (call.isEmpty()) {
      outcome.accept(
          new CallNotStarted(run.request().key(), run.attempt(), RefusalReason.NOT_FOUND));
      return;
    }
    plain
        .call(call.get())
        .subscribe(
            answer ->
                deliver(
                    outcome,
                    new CallAnswered(
                        run.request().key(), run.attempt(), ServiceBodies.result(answer))),
            error -> deliver(outcome, failureEvent(run, error)));
  }

  private void deliver(Consumer<RunOnceEvent> outcome, RunOnceEvent event) {
    loop.execute(() -> outcome.accept(event));
  }

  private static RunOnceEvent failureEvent(RunCall run, Throwable error) {
    if (error instanceof RefusalException refused && refused.refusal().run() == RunStatus.NOT_RUN) {
      return new CallNotStarted(run.request().key(), run.attempt(), refused.refusal().reason());
    }
    return new CallFailed(run.request().key(), run.attempt(), String.valueOf(error.getMessage()));
  }

  private Optional<PlainCall> call(RunOnceRequest request) {
    Catalogue current = catalogue.current().catalogue();
    Optional<ServiceEntry> service = current.service(request.service());
    Optional<WorkspaceEntry> workspace = current.workspace(request.key().workspace());
    if (service.isEmpty() || workspace.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new PlainCall(
            workspace.get(),
            service.get(),
            request.call().method(),
            request.call().path(),
            request.call().headers(),
            Optional.of(request.key().value()),
            ServiceBodies.bytes(request.call().body())));
  }
}
