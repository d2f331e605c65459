package io.hawthornlb.app.entry;

import io.hawthornlb.app.settings.EntrySettings;
import io.hawthornlb.core.catalogue.CatalogueChecker;
import io.hawthornlb.core.catalogue.CatalogueEdit;
import io.hawthornlb.core.catalogue.CatalogueEditor;
import io.hawthornlb.core.catalogue.CatalogueView;
import io.hawthornlb.core.catalogue.EditOutcome;
import io.hawthornlb.core.catalogue.support.CatalogueFold;
import io.hawthornlb.core.catalogue.support.DefaultCatalogueChecker;
import io.hawthornlb.core.catalogue.support.DefaultCatalogueEditor;
import io.hawthornlb.core.claim.ClaimManager;
import io.hawthornlb.core.claim.ClaimView;
import io.hawthornlb.core.claim.support.ClaimFold;
import io.hawthornlb.core.claim.support.ClaimSettings;
import io.hawthornlb.core.claim.support.DefaultClaimManager;
import io.hawthornlb.core.claim.support.ImmediatePlacementPolicy;
import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordIdSource;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.log.support.SnapshotPolicy;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.net.platform.MissedRecordSource;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Maintains the state that all instances share through the log: the catalogue and the claims. */
public final class ControlPlane {

  private static final System.Logger LOG = System.getLogger(ControlPlane.class.getName());

  private static final Duration OUTCOME_POLL_INTERVAL = Duration.ofMillis(10);

  private final LogAccess log;
  private final DecisionLoop loop;
  private final CatalogueHolder holder;
  private final CatalogueFold catalogue;
  private final CatalogueEditor editor;
  private final ClaimFold claimFold;
  private final ClaimManager claims;
  private final List<Runnable> claimListeners = new ArrayList<>();

  /** Creates the control plane of an instance. */
  public ControlPlane(
      EntrySettings settings,
      LogAccess log,
      DecisionLoop loop,
      RecordIdSource ids,
      CatalogueHolder holder,
      InstantSource clock) {
    this.log = log;
    this.loop = loop;
    this.holder = holder;
    CatalogueChecker checker = new DefaultCatalogueChecker();
    this.catalogue = new CatalogueFold(checker);
    this.editor =
        new DefaultCatalogueEditor(catalogue, checker, ids, SnapshotPolicy.DEFAULT, clock);
    this.claimFold = new ClaimFold(settings.claims().partitions());
    this.claims =
        new DefaultClaimManager(
            claimFold,
            ids,
            settings.instance().dataCentre(),
            new ImmediatePlacementPolicy(),
            clock,
            ClaimSettings.of(settings.claims().renew(), settings.claims().silence()));
  }

  /** Starts to follow the streams of the catalogue and of the claims. */
  public void start(MissedRecordSource missed) {
    log.follow(StreamName.CATALOGUE, catalogue, missed, (stream, entry) -> onCatalogueRecord());
    log.follow(StreamName.CLAIMS, claimFold, missed, (stream, entry) -> onClaimRecord(entry));
  }

  /** Adds a listener that runs on the decision loop whenever claims may have changed. */
  public void onClaims(Runnable listener) {
    claimListeners.add(listener);
  }

  /**
   * Renews leases, claims partitions and writes snapshots that are due. Call this method on the
   * decision loop.
   */
  public void tick() {
    appendAll(claims.onTick());
    appendAll(editor.onTick(claims.isPreferredSnapshotWriter(StreamName.CATALOGUE)));
  }

  /** Sets the instances listed by the platform. Call this method on the decision loop. */
  public void onListed(Set<InstanceId> listed) {
    claims.onListed(listed);
  }

  /** Starts to hand over all claims. Call this method on the decision loop. */
  public void stop() {
    appendAll(claims.stop());
  }

  /** Returns whether all claims have been handed over. Call this method on the decision loop. */
  public boolean stopped() {
    return claims.stopped();
  }

  /** Returns the current claims. Use them on the decision loop. */
  public ClaimView claimView() {
    return claimFold;
  }

  /** Returns the claim manager. Use it on the decision loop. */
  public ClaimManager claims() {
    return claims;
  }

  /** Returns the catalogue with the outcomes of its edits. Use this view on the decision loop. */
  public CatalogueView catalogueView() {
    return catalogue;
  }

  /** Appends an edit to the log and returns the outcome of the edit. */
  public CompletionStage<EditOutcome> edit(CatalogueEdit edit) {
    CompletableFuture<EditOutcome> result = new CompletableFuture<>();
    loop.execute(() -> submit(edit, result));
    return result;
  }

  private void submit(CatalogueEdit edit, CompletableFuture<EditOutcome> result) {
    Either<EditOutcome, AppendRecord> decided = editor.submit(edit);
    if (decided.isLeft()) {
      result.complete(decided.getLeft());
      return;
    }
    log.append(decided.get())
        .whenComplete(
            (offset, failure) ->
                loop.execute(
                    () -> {
                      if (failure != null) {
                        result.completeExceptionally(failure);
                      } else {
                        awaitOutcome(edit.editId(), offset, result);
                      }
                    }));
  }

  private void awaitOutcome(String editId, long offset, CompletableFuture<EditOutcome> result) {
    if (catalogue.nextOffset() > offset) {
      catalogue
          .outcome(editId)
          .ifPresentOrElse(
              result::complete,
              () -> result.completeExceptionally(new UnknownEditException(editId)));
      return;
    }
    loop.after(OUTCOME_POLL_INTERVAL, () -> awaitOutcome(editId, offset, result));
  }

  private void appendAll(List<AppendRecord> effects) {
    for (AppendRecord effect : effects) {
      log.append(effect)
          .exceptionally(
              failure -> {
                LOG.log(
                    System.Logger.Level.WARNING,
                    "log: could not append a record to stream {0}",
                    effect.stream());
                return -1L;
              });
    }
  }

  private void onCatalogueRecord() {
    if (catalogue.complete()) {
      holder.update(catalogue.current());
    }
  }

  private void onClaimRecord(LogRecord entry) {
    claims.onRecord(entry);
    claimListeners.forEach(Runnable::run);
  }
}
